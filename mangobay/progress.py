"""The leader's view of the replication progress of the other hosts."""

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
    """Values of a follower that count in a quorum; names of attributes."""

    MATCH_INDEX = "match_index"
    LAST_CONTACT = "last_contact_at"
    CONFIRMED_ROUND = "confirmed_round"


@dataclasses.dataclass(slots=True)
class Follower:
    """The replication progress of another control host.

    Attributes:
      address: the address it listens on.
      host: its name, empty before its first reply.
      identity: its disk, empty before its first reply.
      next_index: index of the next entry to send.
      match_index: index of the newest entry that its disk is known to hold.
      last_contact_at: loop time at which the last answered request was sent.
      confirmed_round: newest round of leadership confirmation that it answered.
      wake: set when there is something to send.
      outgoing_snapshot: the snapshot that is being sent to it, if any.
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
        """Discards the progress of an earlier term or of another disk."""
        self.next_index = next_index
        self.match_index = 0
        self.last_contact_at = NEVER
        self.confirmed_round = 0
        self.outgoing_snapshot = None
        self.wake.set()

    def to_peer(self) -> messages.Peer:
        """Returns this host as a voter of a configuration."""
        return messages.Peer(
            host=self.host, identity=self.identity, address=str(self.address)
        )


class Followers:
    """The progress of all other control hosts.

    Attributes:
      all: one entry for each other control host of the settings, and for each
        host that has joined.
    """

    def __init__(self, addresses: list[options.Address]):
        self.all = [Follower(address) for address in addresses]

    def find(self, address: options.Address) -> Follower | None:
        """Returns the follower at an address, None if there is none."""
        for follower in self.all:
            if follower.address == address:
                return follower
        return None

    def add(self, address: options.Address, next_index: int) -> Follower:
        """Adds and returns a follower that has joined."""
        follower = Follower(address, next_index=next_index)
        self.all.append(follower)
        return follower

    def reset(self, next_index: int) -> None:
        """Discards all progress at the start of this host's leadership."""
        for follower in self.all:
            follower.reset(next_index)

    def wake_all(self) -> None:
        """Wakes all replication tasks."""
        for follower in self.all:
            follower.wake.set()

    def value_of(self, identity: ids.DiskId, measure: Measure) -> float:
        """Returns the value of a disk, `NEVER` if no follower has it."""
        for follower in self.all:
            if follower.identity == identity:
                return getattr(follower, measure.value)
        return NEVER
