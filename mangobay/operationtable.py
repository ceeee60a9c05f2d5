"""The operation table: the operations of each service and their callers."""

import collections
import collections.abc
import dataclasses
import re

from mangobay import errors, ids, invariants
from mangobay.generated import messages

WILDCARD = "*"
NO_REVISION = ids.Revision(0)
"""The revision before the first sheet is accepted."""
UNSAFE_SEGMENT = re.compile(r"\.|\.\.|.*(%2f|%5c|%2e|\\).*", re.IGNORECASE)
"""Matches segments that a backend server may resolve to another path.

For example, `/units/..%2Fsecret` would match `/units/*` here and reach
`/secret` at the backend server, bypassing the sheet's rules.  Legitimate
callers need no such segment for a wildcard, so it matches nothing.
"""

Operations = collections.abc.Iterable[messages.Operation]


def split_segments(path: str) -> tuple[str, ...]:
    """Returns the path segments, with `{name}` segments as wildcards."""
    return tuple(
        WILDCARD if part == WILDCARD or part.startswith("{") else part
        for part in path.split("/")[1:]
    )


def operation_ref(operation: messages.Operation) -> messages.OperationRef:
    """Returns a reference to the operation."""
    return messages.OperationRef(service=operation.service, name=operation.name)


def sort_key(operation: messages.Operation) -> tuple[str, str]:
    """Returns the key that sorts operations by service and name."""
    return operation.service, operation.name


class PathPattern:
    """A path with wildcards.

    Attributes:
      wildcards: Whether each segment is a wildcard; sorts literals first.
      regex: Pattern of the path with a group for each wildcard.
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
        """Returns whether a path with the same number of segments matches."""
        match = self.regex.fullmatch(path)
        return match is not None and not any(
            map(UNSAFE_SEGMENT.fullmatch, match.groups())
        )


class ServiceOperations:
    """The operations of one service, indexed by method and path."""

    def __init__(self, operations: dict[str, messages.Operation]):
        self.operations = operations
        self.by_literal_path: dict[tuple[str, str], messages.Operation] = {}
        self.patterns: dict[tuple[str, int], list[PathPattern]] = {}
        for operation in operations.values():
            self.add(operation)
        for patterns in self.patterns.values():
            patterns.sort(key=lambda pattern: pattern.wildcards)

    def add(self, operation: messages.Operation) -> None:
        """Indexes an operation by its method and path."""
        segments = split_segments(operation.path)
        if WILDCARD not in segments:
            self.by_literal_path[operation.method, operation.path] = operation
            return
        group = self.patterns.setdefault((operation.method, len(segments)), [])
        group.append(PathPattern(segments, operation))

    def find(self, method: str, path: str) -> messages.Operation | None:
        """Returns the operation; literal segments precede wildcards."""
        operation = self.by_literal_path.get((method, path))
        if operation or not self.patterns:
            return operation
        for pattern in self.patterns.get((method, path.count("/")), ()):
            if pattern.matches(path):
                return pattern.operation
        return None


class OperationTable:
    """All operations of one revision; immutable.

    Attributes:
      revision: Revision assigned by the control group.
      services: Operations by service.
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
        """Returns the operation for a request, or None.

        Args:
          service: Requested service.
          method: HTTP method in capitals.
          target: Path below the service, with or without a query.
        """
        offers = self.services.get(service)
        if offers is None:
            return None
        return offers.find(method, target.partition("?")[0])

    @staticmethod
    def allows(operation: messages.Operation, caller: ids.CallerName) -> bool:
        """Returns whether the caller may call the operation."""
        if caller == ids.OUTSIDE:
            return operation.outside
        return (
            caller in operation.callers or ids.ANY_CALLER in operation.callers
        )

    def operations(self) -> list[messages.Operation]:
        """Returns every operation, sorted by service and name."""
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
        """Returns a table of the same revision without the services."""
        kept = {
            name: offers
            for name, offers in self.services.items()
            if name not in services
        }
        return OperationTable(self.revision, kept)

    def updated(self, update: messages.TableUpdate) -> "OperationTable":
        """Returns the table after an update, sharing unchanged services.

        Raises:
          errors.RevisionMismatchError: The update is based on another revision.
          errors.InvariantError: The update leads to an older revision.
        """
        invariants.check(
            invariants.Invariant.REVISION_NEVER_DOWN,
            update.revision >= self.revision,
            f"update to {update.revision} at {self.revision}",
        )
        if update.revision == self.revision:
            return self
        if update.base not in (0, self.revision):
            raise errors.RevisionMismatchError(update.base, self.revision)
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
    """Applies a service's changed operations; None removes one."""
    previous = services.get(service)
    merged = {**(previous.operations if previous else {}), **changed}
    kept = {name: operation for name, operation in merged.items() if operation}
    services.pop(service, None)
    if kept:
        services[service] = ServiceOperations(kept)


@dataclasses.dataclass(slots=True)
class Difference:
    """The difference between two sets of operations.

    Attributes:
      changed: New and changed operations, sorted by service and name.
      removed: References to removed operations, in the same order.
    """

    changed: list[messages.Operation]
    removed: list[messages.OperationRef]


def difference(old: Operations, new: Operations) -> Difference:
    """Returns the difference between two sets of operations."""
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
