"""How far the other control hosts have come, as the leader knows it."""

import asyncio
import dataclasses
import enum
import typing

from mangobay import ids, options
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import snapshottransfer

NEVER = float("-inf")


class Measure(enum.Enum):
    """What of a follower is compared with a quorum; names an attribute."""

    MATCH_INDEX = "match_index"
    LAST_CONTACT = "last_contact_at"
    CONFIRMED_ROUND = "confirmed_round"


@dataclasses.dataclass(slots=True)
class Follower:
    """What the leader knows of another control host.

    Attributes:
      address: where it listens.
      host: its name, empty until it answered.
      identity: its disk, empty until it answered.
      next_index: index of the entry to send next.
      match_index: newest index that its disk is known to hold.
      last_contact_at: when the last request was sent that it answered, seconds.
      confirmed_round: newest round of confirmation that it answered.
      wake: set when there is something to send.
      outgoing_snapshot: a snapshot that is on its way there.
    """

    address: options.Address
    host: ids.HostId = ids.HostId("")
    identity: ids.DiskId = ids.DiskId("")
    next_index: int = 1
    match_index: int = 0
    last_contact_at: float = NEVER
    confirmed_round: int = 0
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    outgoing_snapshot: "snapshottransfer.OutgoingSnapshot | None" = None

    def reset(self, next_index: int) -> None:
        """Forgets what an earlier term or another disk had confirmed."""
        self.next_index = next_index
        self.match_index = 0
        self.last_contact_at = NEVER
        self.confirmed_round = 0
        self.outgoing_snapshot = None
        self.wake.set()

    def to_peer(self) -> messages.Peer:
        """Returns the host as a voter."""
        return messages.Peer(
            host=self.host, identity=self.identity, address=str(self.address)
        )


class Followers:
    """The other control hosts.

    Attributes:
      all: one for each other control host of the settings, and for each that
        has joined.
    """

    def __init__(self, addresses: list[options.Address]):
        self.all = [Follower(address) for address in addresses]

    def find(self, address: options.Address) -> Follower | None:
        """Returns the follower at an address, None where there is none."""
        for follower in self.all:
            if follower.address == address:
                return follower
        return None

    def add(self, address: options.Address, next_index: int) -> Follower:
        """Returns a follower that has joined."""
        follower = Follower(address, next_index=next_index)
        self.all.append(follower)
        return follower

    def reset(self, next_index: int) -> None:
        """Starts anew with a term that this host leads."""
        for follower in self.all:
            follower.reset(next_index)

    def wake_all(self) -> None:
        """Wakes the tasks that replicate."""
        for follower in self.all:
            follower.wake.set()

    def value_of(self, identity: ids.DiskId, measure: Measure) -> float:
        """Returns how far a disk has come; not at all when none has it."""
        for follower in self.all:
            if follower.identity == identity:
                return getattr(follower, measure.value)
        return NEVER
