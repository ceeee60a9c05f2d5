"""What an operator's client and the answers to it cost."""

import json

from bench import series, stock
from mangobay import leases, operationtable, operatorapi, options, sheet

ROLE = "operator's client"
HEADER = (
    "service,operation,method,path,importance,idempotent,key,callers,"
    "outside,deadline_ms,tries"
)


def sheet_of(rows: int) -> bytes:
    """Returns a sheet of so many rows."""
    lines = [HEADER]
    for number in range(rows):
        row = stock.operation(number)
        lines.append(LINE.format(row=row, number=number))
    return "\r\n".join(lines).encode()


LINE = (
    "{row.service},{row.name},GET,/items/{number},high,yes,,service-00000,"
    "no,2000,3"
)


async def check_us(rows: int) -> float:
    """Processor time of checking a sheet."""
    data = sheet_of(rows)
    return series.processor_us(lambda: sheet.parse(data, "sheet"))


async def check_bytes(rows: int) -> float:
    """Memory of a checked sheet."""
    data = sheet_of(rows)
    return series.heap(lambda: sheet.parse(data, "sheet"))


async def compare_us(rows: int) -> float:
    """Processor time of comparing a sheet with an equal table."""
    old = list(map(stock.operation, range(rows)))
    new = list(map(stock.operation, range(rows)))
    return series.processor_us(lambda: operationtable.difference(old, new))


def hosts_json(hosts: int) -> bytes:
    """Returns the answer that names so many hosts."""
    state = stock.machine_with(hosts)
    group = stock.OneHostGroup(state)
    told = operatorapi.OperatorApi(
        options.Address("127.0.0.1", 0),
        group,
        state,
        leases.LeaseTable(state, group, 4, 1),
        1 << 20,
        quarantine_admin=None,
    )
    return json.dumps({"hosts": told.encode_hosts()}).encode()


async def hosts_bytes(hosts: int) -> float:
    """Size of the answer that names every host."""
    return float(len(hosts_json(hosts)))


async def hosts_us(hosts: int) -> float:
    """Processor time of reading that answer."""
    data = hosts_json(hosts)
    return series.processor_us(lambda: json.loads(data))


THOUSANDS = (1000, 2000, 4000, 8000)

ALL = (
    series.Series(ROLE, "checking a sheet, a row", "us", THOUSANDS, check_us),
    series.Series(
        ROLE, "checked sheet, a row", "bytes", THOUSANDS, check_bytes
    ),
    series.Series(
        "control host",
        "comparing a sheet with the table, a row",
        "us",
        THOUSANDS,
        compare_us,
    ),
    series.Series(
        ROLE, "`hosts`, a host", "bytes on the wire", THOUSANDS, hosts_bytes
    ),
    series.Series(ROLE, "reading `hosts`, a host", "us", THOUSANDS, hosts_us),
)
