"""Brings about the faults of senders without end."""

import asyncio
import collections.abc
import dataclasses

from bench.soak import (
    callers,
    dialect,
    endless,
    endlessfaults,
    history,
    wire,
    world,
)
from mangobay import ids

DEADLINE_SECONDS = 2.0
"""Of the requests whose responses have no end."""
BEAT = dialect.Beat(
    instance=ids.InstanceId("i-endless"),
    address="",
    born_ms=0,
    sequence=0,
    service=ids.ServiceName(""),
    data_centre=ids.DataCentre(""),
    slots=0,
    draining=False,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Floods:
    """Senders without end of one run.

    Attributes:
      places: every host, by name.
      speech: how they speak.
      seen: gets every request.
      numbers: numbers of connections.
    """

    places: collections.abc.Mapping[ids.HostId, dialect.Place]
    speech: dialect.Dialect
    seen: history.History
    numbers: collections.abc.Iterator[int]

    async def request(self, fault: endlessfaults.EndlessResponses) -> None:
        """Sends requests whose responses have no end; returns behind them."""
        services = world.SERVICES
        wish = callers.Wish(
            way=fault.way,
            work=0.0,
            repeatable=fault.repeatable,
            seconds=DEADLINE_SECONDS,
            service=services[fault.service % len(services)],
        )
        async with asyncio.TaskGroup() as group:
            for number in range(fault.count):
                caller = callers.Repeater(
                    wish,
                    f"endless-{fault.mark}-{number}",
                    self.places[fault.host],
                    self.speech,
                    self.seen,
                    self.numbers,
                )
                group.create_task(caller.turn())

    async def send(self, fault: endlessfaults.EndlessBodies) -> None:
        """Sends bodies until their connections are closed, or time is over."""
        port, call = self.target(fault.port)
        head = wire.parse_head(call.partition(b"\r\n\r\n")[0])
        fields = {
            name: value
            for name, value in head.fields.items()
            if name != "content-length"
        }
        message = endless.make_message(fault.form, head.first, fields)
        ip = self.places[fault.host].ip
        async with asyncio.TaskGroup() as group:
            for _ in range(fault.count):
                sending = send_until(ip, port, message, fault.seconds)
                group.create_task(sending)

    def target(self, port: endlessfaults.Port) -> tuple[int, bytes]:
        """Returns the number of a port, and a call that it expects."""
        speech, ports = self.speech, self.speech.ports
        match port:
            case endlessfaults.Port.READY:
                return ports.ready, speech.ready
            case endlessfaults.Port.HEARTBEATS:
                return ports.heartbeats, speech.beat(BEAT)
            case endlessfaults.Port.OPERATOR:
                return ports.operator, speech.publish(1, 0, [])
        return ports.metrics, speech.metrics


async def send_until(
    ip: str, port: int, message: tuple[bytes, bytes], seconds: float
) -> None:
    """Sends a message without end for some seconds at most."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            await endless.send(reader, writer, message)
    except (OSError, TimeoutError):
        # The process is down, has closed the connection, or reads on.
        pass
    finally:
        if writer is not None:
            writer.transport.abort()
