"""The table of one revision: what each service offers, and to whom."""

import collections
import collections.abc
import dataclasses
import re

from mangobay import errors, ids, invariants
from mangobay.generated import messages

WILDCARD = "*"
NO_REVISION = ids.Revision(0)
"""Before the first accepted sheet."""
UNSAFE_SEGMENT = re.compile(r"\.|\.\.|.*(%2f|%5c|%2e|\\).*", re.IGNORECASE)
"""A segment that a backend server may read as another path.

Failure: `/units/..%2Fsecret` matches `/units/*` here and reaches `/secret`
there, past the sheet.  No honest caller needs such a segment where a
wildcard stands, so refusing it is enough.
"""

Operations = collections.abc.Iterable[messages.Operation]


def split_segments(path: str) -> tuple[str, ...]:
    """Returns the segments of a path; `{name}` segments become wildcards."""
    return tuple(
        WILDCARD if part == WILDCARD or part.startswith("{") else part
        for part in path.split("/")[1:]
    )


def operation_ref(operation: messages.Operation) -> messages.OperationRef:
    """Returns what names the operation."""
    return messages.OperationRef(service=operation.service, name=operation.name)


def sort_key(operation: messages.Operation) -> tuple[str, str]:
    """Orders operations by service and name."""
    return operation.service, operation.name


class PathPattern:
    """A path with wildcards.

    Attributes:
      wildcards: for each segment whether it is a wildcard; sorts literals first.
      regex: matches the path, with a group for each wildcard.
    """

    def __init__(self, segments: tuple[str, ...], operation):
        self.operation = operation
        self.wildcards = tuple(segment == WILDCARD for segment in segments)
        self.regex = re.compile(
            "".join(
                "/([^/]+)" if segment == WILDCARD else f"/{re.escape(segment)}"
                for segment in segments
            )
        )

    def matches(self, path: str) -> bool:
        """Returns whether a path of as many segments is meant."""
        match = self.regex.fullmatch(path)
        return match is not None and not any(
            map(UNSAFE_SEGMENT.fullmatch, match.groups())
        )


class ServiceOperations:
    """The operations of one service, found by method and path."""

    def __init__(self, operations: dict[str, messages.Operation]):
        self.operations = operations
        self.by_literal_path: dict[tuple[str, str], messages.Operation] = {}
        self.patterns: dict[tuple[str, int], list[PathPattern]] = {}
        for operation in operations.values():
            self.add(operation)
        for patterns in self.patterns.values():
            patterns.sort(key=lambda pattern: pattern.wildcards)

    def add(self, operation: messages.Operation) -> None:
        """Files an operation under its method and path."""
        segments = split_segments(operation.path)
        if WILDCARD not in segments:
            self.by_literal_path[operation.method, operation.path] = operation
            return
        group = self.patterns.setdefault((operation.method, len(segments)), [])
        group.append(PathPattern(segments, operation))

    def find(self, method: str, path: str) -> messages.Operation | None:
        """Returns the operation; a literal segment goes before a wildcard."""
        operation = self.by_literal_path.get((method, path))
        if operation or not self.patterns:
            return operation
        for pattern in self.patterns.get((method, path.count("/")), ()):
            if pattern.matches(path):
                return pattern.operation
        return None


class OperationTable:
    """All operations of one revision; never changed once made.

    Attributes:
      revision: the revision that the control group gave it.
      services: what each service offers.
    """

    __slots__ = ("revision", "services")

    def __init__(
        self,
        revision: ids.Revision = NO_REVISION,
        services: dict[ids.ServiceName, ServiceOperations] | None = None,
    ):
        self.revision = revision
        self.services = services or {}

    def find(
        self, service: ids.ServiceName, method: str, target: str
    ) -> messages.Operation | None:
        """Returns the operation that a request names, or None.

        Args:
          service: the service asked for.
          method: the HTTP method in capitals.
          target: path below the service, with or without a query.
        """
        offers = self.services.get(service)
        if offers is None:
            return None
        return offers.find(method, target.partition("?")[0])

    @staticmethod
    def allows(operation: messages.Operation, caller: ids.CallerName) -> bool:
        """Returns whether the caller may reach the operation."""
        if caller == ids.OUTSIDE:
            return operation.outside
        return caller in operation.callers or ids.EVERYONE in operation.callers

    def operations(self) -> list[messages.Operation]:
        """Returns every operation, by service and name."""
        return sorted(
            (
                operation
                for offers in self.services.values()
                for operation in offers.operations.values()
            ),
            key=sort_key,
        )

    def without_services(
        self, services: collections.abc.Set[ids.ServiceName]
    ) -> "OperationTable":
        """Returns the table of the same revision without some services."""
        kept = {
            name: offers
            for name, offers in self.services.items()
            if name not in services
        }
        return OperationTable(self.revision, kept)

    def updated(self, update: messages.TableUpdate) -> "OperationTable":
        """Returns the table after an update; only changed services are built.

        Raises:
          errors.UpdateBaseError: the update starts from another revision.
          errors.InvariantError: it leads to an older revision.
        """
        invariants.check(
            invariants.Promise.REVISION_NEVER_DOWN,
            update.revision >= self.revision,
            f"update to {update.revision} at {self.revision}",
        )
        if update.revision == self.revision:
            return self
        if update.base not in (0, self.revision):
            raise errors.UpdateBaseError(update.base, self.revision)
        services = dict(self.services) if update.base else {}
        changes: dict[ids.ServiceName, dict] = collections.defaultdict(dict)
        for removed in update.removed:
            changes[removed.service][removed.name] = None
        for operation in update.changed:
            changes[operation.service][operation.name] = operation
        for service, changed in changes.items():
            replace_operations(services, service, changed)
        return OperationTable(update.revision, services)


def replace_operations(
    services: dict[ids.ServiceName, ServiceOperations],
    service: ids.ServiceName,
    changed: dict[ids.OperationName, messages.Operation | None],
) -> None:
    """Puts a service's changed operations in; None takes one away."""
    previous = services.get(service)
    merged = {**(previous.operations if previous else {}), **changed}
    kept = {name: operation for name, operation in merged.items() if operation}
    services.pop(service, None)
    if kept:
        services[service] = ServiceOperations(kept)


@dataclasses.dataclass(slots=True)
class Difference:
    """What leads from one set of operations to another.

    Attributes:
      changed: operations that are new or differ, by service and name.
      removed: operations that are gone.
    """

    changed: list[messages.Operation]
    removed: list[messages.OperationRef]


def difference(old: Operations, new: Operations) -> Difference:
    """Returns the changed and removed rows between two sets."""
    before = {sort_key(operation): operation for operation in old}
    after = {sort_key(operation): operation for operation in new}
    return Difference(
        changed=[
            after[key] for key in sorted(after) if after[key] != before.get(key)
        ],
        removed=[
            operation_ref(before[key]) for key in sorted(before.keys() - after)
        ],
    )
