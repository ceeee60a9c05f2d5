"""Which backend servers on this host have announced themselves."""

import asyncio
import collections.abc
import dataclasses
import re
import typing

from mangobay import calls, ids, logs, options
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import admission

SERVICE_FORM = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
MOST_SERVICES = 64
MOST_SLOTS = 100_000
EXPIRIES_IN_SILENCE = 4
"""How often within the silence the announcements are looked through."""

Watcher = collections.abc.Callable[[list[messages.ServedService]], None]
MakeAdmission = collections.abc.Callable[[], "admission.Admission"]


@dataclasses.dataclass(slots=True, kw_only=True)
class Announcement:
    """What a backend server says of itself.

    Attributes:
      service: what it serves.
      address: where it takes calls.
      slots: calls it says it can run at once; a start, not the truth.
      healthy: its own word; a hint that only keeps this node from preferring
        it, since such words lag and lie.
      instance: names its incarnation, where it told one.
    """

    service: ids.ServiceName
    address: options.Address
    slots: int
    healthy: bool = True
    instance: ids.InstanceId = ids.InstanceId("")


@dataclasses.dataclass(slots=True, kw_only=True)
class Served:
    """A service that the backend server on this host serves.

    Attributes:
      said: the last announcement.
      renewed: loop time when it came.
      admission: of this service's calls here.
    """

    said: Announcement
    renewed: float
    admission: "admission.AdmissionController"


def parse(document: typing.Any) -> Announcement:
    """Returns the announcement in a JSON document.

    Raises:
      calls.RequestError: with every fault of the document.
    """
    if not isinstance(document, dict):
        raise malformed(["not a JSON object"])
    faults = []
    service = document.get("service")
    if not isinstance(service, str) or not SERVICE_FORM.fullmatch(service):
        faults.append("service: a name of letters, digits, '.', '_' and '-'")
    slots = document.get("slots")
    if type(slots) is not int or not 1 <= slots <= MOST_SLOTS:
        faults.append(f"slots: a whole number from 1 to {MOST_SLOTS}")
    healthy = document.get("healthy", True)
    if not isinstance(healthy, bool):
        faults.append("healthy: true or false")
    address = options.Address("", 0)
    try:
        address = options.parse_address(str(document.get("address")))
    except ValueError as error:
        faults.append(f"address: {error}")
    if faults:
        raise malformed(faults)
    return Announcement(
        service=service, address=address, slots=slots, healthy=healthy
    )


def malformed(faults: list[str]) -> calls.RequestError:
    """Returns the error that tells every fault at once."""
    return calls.RequestError(messages.Reason.MALFORMED, "; ".join(faults))


class Announcements:
    """The services served on this host; one goes when it falls silent.

    Attributes:
      silence: seconds without a renewal after which one is gone.
      served: by service.
    """

    def __init__(
        self, silence: float, make_admission: MakeAdmission, watcher: Watcher
    ):
        self.silence = silence
        self.make_admission = make_admission
        self.watcher = watcher
        self.served: dict[ids.ServiceName, Served] = {}

    def announce(self, said: Announcement) -> None:
        """Takes an announcement, new or renewed.

        Raises:
          calls.RequestError: too many services on one host.
        """
        now = asyncio.get_running_loop().time()
        known = self.served.get(said.service)
        if known is None:
            if len(self.served) >= MOST_SERVICES:
                raise malformed([f"more than {MOST_SERVICES} services"])
            known = Served(
                said=said, renewed=now, admission=self.make_admission()
            )
            self.served[said.service] = known
            known.admission.set_slots(said.slots)
            self.tell("announced", said.service)
            return
        changed = known.said.slots != said.slots
        known.said = said
        known.renewed = now
        if changed:
            known.admission.set_slots(said.slots)
            self.tell("slots changed", said.service)

    def leave(self, service: ids.ServiceName) -> bool:
        """Takes a service out; returns whether it was there."""
        place = self.served.pop(service, None)
        if place is None:
            return False
        place.admission.refuse_all_waiting()
        self.tell("left", service)
        return True

    def find(self, service: ids.ServiceName) -> Served | None:
        """Returns a service served here, None where it is not."""
        return self.served.get(service)

    def tell(self, sentence: str, service: ids.ServiceName) -> None:
        """Logs a change and passes the services on to the watcher."""
        logs.say(logs.Part.NODE, f"backend server {sentence}", service=service)
        self.watcher(
            [
                messages.ServedService(name=name, slots=each.said.slots)
                for name, each in sorted(self.served.items())
            ]
        )

    def expire(self) -> None:
        """Takes out every service that fell silent."""
        oldest = asyncio.get_running_loop().time() - self.silence
        for service, each in list(self.served.items()):
            if each.renewed < oldest:
                del self.served[service]
                self.tell("fell silent", service)

    async def run(self) -> None:
        """Looks for silent ones until cancelled."""
        while True:
            await asyncio.sleep(self.next_look())
            self.expire()

    def next_look(self) -> float:
        """Returns the seconds until one of them may have fallen silent."""
        now = asyncio.get_running_loop().time()
        first = min(
            (each.renewed for each in self.served.values()), default=now
        )
        shortest = self.silence / EXPIRIES_IN_SILENCE
        return max(first + self.silence - now, shortest)
