"""A deployment of the examples: its sizes and what each operation costs."""

import configparser
import dataclasses
import pathlib
import typing

from mangobay import ids, operationtable, sheet
from mangobay.generated import messages

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"

WorkId = typing.NewType("WorkId", str)
"""`service.operation`."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its size.

    Attributes:
      name: as in the sheet.
      upstreams: hosts that run a backend server of it.
      slots: calls that one backend server serves at once.
      connections: that one backend server takes.
    """

    name: ids.ServiceName
    upstreams: int
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a fake backend server does for an operation.

    Attributes:
      operation: its row of the sheet.
      work_ms: time of its own, milliseconds.
      calls: operations that it calls, in order.
      share: of the calls from outside; 0: not called by the load.
    """

    operation: messages.Operation
    work_ms: float
    calls: tuple[WorkId, ...]
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """One deployment.

    Attributes:
      name: of its folder below examples.
      sheet: path of its sheet.
      data_centres: their names.
      one_way_ms: delay between two data centres, milliseconds.
      client_one_way_ms: delay between callers and hosts, milliseconds.
      connection_ms: cost of a new connection, milliseconds.
      recovery_weight: setting of the nodes.
      rate: calls a second of the demo.
      surge: what times the rate in its trouble.
      slowdown: what times the work of the last service in its trouble.
      services: by name.
      works: by service and operation.
      table: of the sheet.
    """

    name: str
    sheet: pathlib.Path
    data_centres: tuple[ids.DataCentre, ...]
    one_way_ms: float
    client_one_way_ms: float
    connection_ms: float
    recovery_weight: float
    rate: float
    surge: float
    slowdown: float
    services: dict[ids.ServiceName, Service]
    works: dict[WorkId, Work]
    table: operationtable.OperationTable


def work_id(operation: messages.Operation) -> WorkId:
    """Returns the name of an operation across services."""
    return WorkId(f"{operation.service}.{operation.name}")


def target_of(operation: messages.Operation, number: int) -> str:
    """Returns a target below the service that names the operation."""
    return operation.path.replace(operationtable.WILDCARD, str(number))


def read(name: str) -> Deployment:
    """Returns the deployment in `examples/NAME`."""
    folder = EXAMPLES / name
    parser = configparser.ConfigParser()
    with open(folder / "deployment.ini", encoding="utf-8") as file:
        parser.read_file(file)
    sheet_path = folder / "sheet.csv"
    checked = sheet.parse(sheet_path.read_bytes(), str(sheet_path))
    rows = operationtable.OperationTable().updated(
        messages.TableUpdate(
            revision=ids.Revision(1), changed=checked.operations
        )
    )
    sizes = parser["deployment"]
    return Deployment(
        name=name,
        sheet=sheet_path,
        data_centres=tuple(map(ids.DataCentre, sizes["data_centres"].split())),
        one_way_ms=sizes.getfloat("one_way_ms"),
        client_one_way_ms=sizes.getfloat("client_one_way_ms"),
        connection_ms=sizes.getfloat("connection_ms"),
        recovery_weight=sizes.getfloat("recovery_weight"),
        rate=sizes.getfloat("rate"),
        surge=sizes.getfloat("surge"),
        slowdown=sizes.getfloat("slowdown"),
        services=services_of(parser),
        works={
            work_id(operation): work_of(parser, operation)
            for operation in checked.operations
        },
        table=rows,
    )


def services_of(parser: configparser.ConfigParser) -> dict:
    """Returns the services by name."""
    services = {}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if kind == "service":
            sizes = parser[section]
            services[name] = Service(
                ids.ServiceName(name),
                sizes.getint("upstreams"),
                sizes.getint("slots"),
                sizes.getint("connections"),
            )
    return services


def work_of(
    parser: configparser.ConfigParser, operation: messages.Operation
) -> Work:
    """Returns what an operation costs."""
    section = parser[f"operation {work_id(operation)}"]
    calls = tuple(map(WorkId, section.get("calls", "").split()))
    return Work(
        operation,
        section.getfloat("work_ms"),
        calls,
        section.getfloat("share", 0),
    )
