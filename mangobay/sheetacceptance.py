"""How a sheet becomes a revision: compared, agreed on, answered once."""

import asyncio
import dataclasses

from mangobay import (
    clock,
    errors,
    ids,
    leases,
    operationtable,
    sheet,
    statemachine,
)
from mangobay.generated import messages

MAX_COMPARISONS = 3
"""Under one leader the table moves only here, under the lock; entries of a
former leader can move it a few times at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class SheetResult:
    """The answer to a sheet.

    Attributes:
      revision: the revision that holds it.
      changed: rows that were new or differed.
      removed: rows that went.
      repeated: the same sheet had been accepted before.
    """

    revision: ids.Revision
    changed: int
    removed: int
    repeated: bool


class SheetAcceptor:
    """Takes sheets in at the leader, one after the other."""

    def __init__(
        self, machine: statemachine.ConfigStateMachine, group: leases.Group
    ):
        self.machine = machine
        self.group = group
        self.lock = asyncio.Lock()

    async def accept(
        self,
        checked_sheet: sheet.Sheet,
        version: ids.SheetVersion,
        operator: str,
    ) -> SheetResult:
        """Returns once the sheet is committed.

        Raises:
          errors.ConflictError: the version is taken by another content.
          errors.VersionSpentError: it was used long ago; nothing was changed.
          errors.NotLeaderError: nothing was changed.
          errors.UncertainError: the sheet may yet take effect; sent again, it
            gets its true answer.
        """
        async with self.lock:
            for _ in range(MAX_COMPARISONS):
                # Compared with a table that a newer leader has changed, the
                # entry would only be refused when it is applied.
                await self.group.confirm_leadership()
                if version in self.machine.history_by_version:
                    return self.make_result(checked_sheet, version)
                if self.machine.used_versions.contains(version):
                    raise errors.VersionUsedError(version)
                change = await self.make_change(
                    checked_sheet, version, operator
                )
                entry = await self.group.propose(change)
                if version in self.machine.history_by_version:
                    return self.make_result(checked_sheet, version, entry.index)
        raise errors.NotLeaderError(self.group.leader)

    async def make_change(
        self,
        checked_sheet: sheet.Sheet,
        version: ids.SheetVersion,
        operator: str,
    ) -> messages.SheetChange:
        """Returns the entry that makes the sheet out of the table."""
        base = self.machine.revision
        rows = list(self.machine.operations())
        # A large sheet takes longer than a heartbeat may be late.
        difference = await asyncio.to_thread(
            operationtable.difference, rows, checked_sheet.operations
        )
        return messages.SheetChange(
            version=version,
            digest=checked_sheet.digest,
            operator=operator,
            accepted_ms=clock.unix_ms(),
            base=base,
            changed=difference.changed,
            removed=difference.removed,
        )

    def make_result(
        self,
        checked_sheet: sheet.Sheet,
        version: ids.SheetVersion,
        proposed_index: ids.LogIndex | None = None,
    ) -> SheetResult:
        """Returns what became of the sheet; `index` is of the own entry.

        Raises:
          errors.ConflictError: the version is taken by another content.
        """
        item = self.machine.history_by_version[version]
        if item.digest != checked_sheet.digest:
            raise errors.ConflictError(version, item.revision)
        return SheetResult(
            revision=item.revision,
            changed=item.changed_rows,
            removed=item.removed_rows,
            repeated=item.revision != proposed_index,
        )
