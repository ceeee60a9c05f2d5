"""Acceptance of sheets at the leader, each as a new revision."""

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
"""Attempts to compare and commit a sheet.

Under one leader the operation table changes only here, under the lock. Entries
of a former leader can change it a few times at most.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class SheetResult:
    """The result of an accepted sheet.

    Attributes:
      revision: the revision at which the sheet was accepted.
      changed: number of added or changed rows.
      removed: number of removed rows.
      repeated: whether the same sheet had been accepted before.
    """

    revision: ids.Revision
    changed: int
    removed: int
    repeated: bool


class SheetAcceptor:
    """Accepts sheets at the leader, one after the other."""

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
        """Commits the sheet and returns its result.

        Raises:
          errors.ConflictError: another sheet has the same version.
          errors.VersionUsedError: the version was used by a sheet that the
            history has dropped; nothing was changed.
          errors.NotLeaderError: nothing was changed.
          errors.LeadershipLostError: the sheet may still be committed; sent
            again, it gets its actual result.
        """
        async with self.lock:
            for _ in range(MAX_COMPARISONS):
                # A difference to a table that a newer leader has changed
                # would only be refused when the entry is applied.
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
        """Returns the log entry that changes the table to the sheet."""
        base = self.machine.revision
        rows = list(self.machine.operations())
        # Comparing a large sheet takes longer than a heartbeat may be late.
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
        """Returns the result of the sheet.

        Args:
          checked_sheet: the sheet.
          version: version of the sheet.
          proposed_index: log index of the entry that was just proposed.

        Raises:
          errors.ConflictError: another sheet has the same version.
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
