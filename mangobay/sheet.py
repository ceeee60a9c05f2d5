"""Parses a sheet: CSV in, checked operations or all findings out.

A sheet is the file in which planners list the operations of all services, one
a row.
"""

import csv
import dataclasses
import hashlib
import io
import json

from mangobay import cells, errors, findings, ids, operationtable
from mangobay.generated import messages

MAX_BYTES = 16 * 1024 * 1024
MAX_ROWS = 100_000
MAX_CELL_LENGTH = 4096
MAX_FINDINGS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Sheet:
    """A checked sheet.

    Attributes:
      operations: sorted by service and name.
      digest: hash of the content; it does not depend on how the CSV writes it.
    """

    operations: list[messages.Operation]
    digest: bytes


class Parser:
    """Parses one sheet and collects its findings.

    Attributes:
      file_name: what findings call the file.
      findings: every finding so far.
      operations_by_row: the valid operations by their row of the sheet.
    """

    def __init__(self, file_name: str):
        self.file_name = file_name
        self.findings: list[findings.Finding] = []
        self.operations_by_row: dict[int, messages.Operation] = {}

    def report(self, message: str, row: int = 0, column: str = "") -> None:
        """Adds a finding at a row and column of the sheet."""
        location = self.file_name
        if row:
            location = f"{location}:row {row}"
        if column:
            location = f"{location}, column {column}"
        self.findings.append(findings.Finding(location, message))

    def raise_findings(self) -> None:
        """Raises SheetError if there are findings; shortens a long list."""
        if len(self.findings) > MAX_FINDINGS:
            omitted = len(self.findings) - MAX_FINDINGS
            del self.findings[MAX_FINDINGS:]
            self.report(f"and {omitted} more findings")
        if self.findings:
            raise errors.SheetError(self.findings)

    def decode(self, data: bytes) -> str:
        """Returns the text of a sheet after checking its size and encoding."""
        if len(data) > MAX_BYTES:
            self.report(f"is longer than {MAX_BYTES} bytes")
        try:
            return data.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            row = data.count(b"\n", 0, error.start) + 1
            self.report("is not UTF-8; export it as CSV UTF-8", row)
        self.raise_findings()
        return ""

    def read_records(self, text: str) -> list[list[str]]:
        """Returns the cells of each row without surrounding spaces."""
        header = text.partition("\n")[0]
        delimiter = ";" if header.count(";") >= header.count(",") else ","
        reader = csv.reader(
            io.StringIO(text, newline=""), delimiter=delimiter, strict=True
        )
        records: list[list[str]] = []
        try:
            for record in reader:
                records.append([cell.strip() for cell in record])
                if len(records) > MAX_ROWS:
                    self.report(f"has more than {MAX_ROWS} rows")
                    break
        except csv.Error as error:
            self.report(f"cannot be read as CSV: {error}", len(records) + 1)
        return records

    def read_columns(self, header: list[str]) -> dict[int, cells.Column]:
        """Returns the columns by their position in the header."""
        columns_by_title = {column.value: column for column in cells.Column}
        columns: dict[int, cells.Column] = {}
        for position, title in enumerate(header):
            column = columns_by_title.get(title.lower().replace(" ", "_"))
            if column in columns.values():
                self.report("occurs twice", 1, title)
            elif column:
                columns[position] = column
            elif title:
                hint = findings.suggest(title, columns_by_title)
                self.report(f"no such column{hint}", 1, title)
        for column, cell_parser in cells.CELL_PARSERS.items():
            if cell_parser.required and column not in columns.values():
                self.report(f"the column {column.value} is missing", 1)
        return columns

    def read_row(
        self, row: int, record: list[str], columns: dict[int, cells.Column]
    ) -> None:
        """Keeps the operation of a row, or reports what is wrong with it."""
        values = {}
        finding_count = len(self.findings)
        for position, text in enumerate(record):
            column = columns.get(position)
            if column is None:
                if text:
                    self.report(f"{text!r} is outside the columns", row)
                continue
            if len(text) > MAX_CELL_LENGTH:
                self.report(
                    f"exceeds the maximum length of {MAX_CELL_LENGTH}",
                    row,
                    column.value,
                )
                continue
            cell_parser = cells.CELL_PARSERS[column]
            try:
                values[cell_parser.attribute] = cell_parser.parse(text)
            except ValueError as error:
                self.report(str(error), row, column.value)
        for position, column in columns.items():
            if position >= len(record) and cells.CELL_PARSERS[column].required:
                self.report("is missing", row, column.value)
        if len(self.findings) == finding_count:
            self.operations_by_row[row] = messages.Operation(**values)

    def check_keys(self) -> None:
        """Reports idempotent operations that require a key without need."""
        for row, operation in self.operations_by_row.items():
            if operation.idempotent and operation.key_required:
                self.report(
                    "an idempotent operation needs no key",
                    row,
                    cells.Column.KEY.value,
                )

    def check_callers(self) -> None:
        """Reports callers that are not a service of the sheet.

        A misspelled caller would silently deny that service access.
        """
        services = {
            operation.service for operation in self.operations_by_row.values()
        }
        for row, operation in self.operations_by_row.items():
            for caller in operation.callers:
                if caller not in services and caller != ids.ANY_CALLER:
                    hint = findings.suggest(caller, services)
                    self.report(
                        f"no service {caller!r} in the sheet{hint}",
                        row,
                        cells.Column.CALLERS.value,
                    )

    def check_conflicts(self) -> None:
        """Reports rows with the same operation name or the same request."""
        row_by_name: dict[tuple, int] = {}
        row_by_request: dict[tuple, int] = {}
        for row, operation in self.operations_by_row.items():
            first_row = row_by_name.setdefault(
                operationtable.sort_key(operation), row
            )
            if first_row != row:
                self.report(
                    f"{operation.service} {operation.name} is in row"
                    f" {first_row} already",
                    row,
                    cells.Column.OPERATION.value,
                )
            request = (operation.service, operation.method, operation.path)
            first_row = row_by_request.setdefault(request, row)
            if first_row != row:
                self.report(
                    f"{operation.method} {operation.path} of"
                    f" {operation.service} is in row {first_row} already",
                    row,
                    cells.Column.PATH.value,
                )


def compute_digest(operations: list[messages.Operation]) -> bytes:
    """Returns the hash of operations that are sorted by service and name."""
    content = [dataclasses.asdict(operation) for operation in operations]
    text = json.dumps(content, sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).digest()


def parse(data: bytes, file_name: str) -> Sheet:
    """Returns the checked content of a sheet.

    Args:
      data: the content of the file.
      file_name: what findings call the file.

    Raises:
      errors.SheetError: the sheet has errors; it lists all of them.
    """
    parser = Parser(file_name)
    records = parser.read_records(parser.decode(data))
    if not records or not any(records[0]):
        parser.report("the first row must name the columns", 1)
        parser.raise_findings()
    columns = parser.read_columns(records[0])
    parser.raise_findings()
    for row, record in enumerate(records[1:], 2):
        if any(record):
            parser.read_row(row, record, columns)
    has_faulty_rows = bool(parser.findings)
    parser.check_keys()
    parser.check_conflicts()
    if not has_faulty_rows:
        parser.check_callers()
    if not parser.operations_by_row and not has_faulty_rows:
        parser.report(
            "has no operations; an empty sheet would disable all services"
        )
    parser.raise_findings()
    operations = sorted(
        parser.operations_by_row.values(), key=operationtable.sort_key
    )
    return Sheet(operations, compute_digest(operations))
