"""Assignment of idempotency keys to slots, and of slots to nodes.

Each slot has one owner, which runs the calls, and some holders, which keep
copies of their records. Owners and holders are chosen by rendezvous hashing:
when a host joins or leaves, only the slots that it gains or loses change their
owner.
"""

import enum
import functools

import xxhash

from mangobay import ids
from mangobay.generated import messages

SLOT_COUNT = 256
"""Number of slots of each service."""


class CopyPlace(enum.Enum):
    """Preferred data centre of a copy, relative to the owner."""

    OTHER_DATA_CENTRE = "other_data_centre"
    SAME_DATA_CENTRE = "same_data_centre"


def slot_of(key: ids.IdempotencyKey) -> ids.Slot:
    """Returns the slot of a key; every node computes the same one."""
    return ids.Slot(xxhash.xxh3_64_intdigest(key.encode()) % SLOT_COUNT)


def rendezvous_score(member: messages.Member, slot: ids.Slot) -> int:
    """Returns the rendezvous hash of a member; the highest owns the slot."""
    return xxhash.xxh3_64_intdigest(f"{slot}/{member.host}".encode())


def rank_members(
    members: list[messages.Member], slot: ids.Slot
) -> list[messages.Member]:
    """Returns the members that are not leaving, the slot's owner first."""
    eligible = [member for member in members if not member.leaving]
    return sorted(
        eligible,
        key=lambda member: rendezvous_score(member, slot),
        reverse=True,
    )


class Placement:
    """Owners and holders of every slot for one list of members.

    Attributes:
      members: the members of the service.
      copies: number of holders wanted for each slot.
      copy_place: preferred data centre of the holders.
      ranking: cached `compute_ranking`.
    """

    def __init__(
        self, members: list[messages.Member], copies: int, copy_place: CopyPlace
    ):
        self.members = members
        self.copies = copies
        self.copy_place = copy_place
        self.ranking = functools.cache(self.compute_ranking)

    def compute_ranking(self, slot: ids.Slot) -> list[messages.Member]:
        """Returns the members that are not leaving, the slot's owner first."""
        return rank_members(self.members, slot)

    def owner(self, slot: ids.Slot) -> messages.Member | None:
        """Returns the slot's owner, None if every member is leaving."""
        ranking = self.ranking(slot)
        return ranking[0] if ranking else None

    def holders(self, slot: ids.Slot) -> list[messages.Member]:
        """Returns the members that hold copies of the slot's records."""
        ranking = self.ranking(slot)
        if not ranking:
            return []
        prefer_same = self.copy_place is CopyPlace.SAME_DATA_CENTRE
        owner_data_centre = ranking[0].data_centre
        candidates = sorted(
            ranking[1:],
            key=lambda member: (
                (member.data_centre == owner_data_centre) is not prefer_same
            ),
        )
        return candidates[: self.copies]


def owner(view: messages.ServiceView, slot: ids.Slot) -> messages.Member | None:
    """Returns the slot's owner, None if every member is leaving."""
    eligible = (member for member in view.members if not member.leaving)
    return max(
        eligible,
        key=lambda member: rendezvous_score(member, slot),
        default=None,
    )
