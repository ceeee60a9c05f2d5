"""Clients send uploads within the limits; nodes have 300 MB of memory."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import case, fleet, manifests, messages, upstream  # noqa: E402

MEMORY_MB = 300
"""Memory of a sidecar, on the page of the site; taken for MiB, the larger."""
LARGEST_BODY_BYTES = 60_000_000
"""Below `max_body_bytes`, which is 67,108,864."""
USUAL_BODY_BYTES = 360_000
"""The largest upload of the site's own clients."""
UPLOADS = 2
BOOKINGS = 12
ALLOWED_CUTS = 3
POLL_SECONDS = 0.002
RESTART_SECONDS = 0.5
STABLE_SECONDS = 3.0
WORK_SECONDS = 2.0
DEADLINE_MS = 5000
SERVICES = ["documents", "placement"]


def make(log):
    """Returns the deployment: five core machines and four sidecars."""
    return fleet.Fleet(log, [*SERVICES, *SERVICES])


def memory_mb(machine) -> float:
    """Returns the memory that the process of a machine uses, in MiB."""
    status = pathlib.Path(f"/proc/{machine.process.pid}/status").read_text()
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Ends a process that uses more memory than its machine has.

    Attributes:
      peaks: the most memory that was seen, by machine.
      ends: the machines whose process was ended.
    """

    def __init__(self, deployment, log):
        self.deployment = deployment
        self.log = log
        self.peaks: dict[str, float] = {}
        self.ends: list[str] = []

    async def watch(self) -> None:
        """Looks at the memory of all sidecars until cancelled."""
        while True:
            for machine in self.deployment.sidecars:
                if machine.process.poll() is None:
                    await self.look_at(machine)
            await asyncio.sleep(POLL_SECONDS)

    async def look_at(self, machine) -> None:
        """Ends the process of a machine if it uses too much memory."""
        used = memory_mb(machine)
        self.peaks[machine.name] = max(self.peaks.get(machine.name, 0), used)
        if used <= MEMORY_MB:
            return
        self.log.add(f"{machine.name} uses {used:.0f} MiB and is killed")
        self.deployment.send_signal(machine, signal.SIGKILL)
        self.ends.append(machine.name)
        await asyncio.to_thread(machine.process.wait)
        await asyncio.sleep(RESTART_SECONDS)
        self.deployment.start(machine)


class Client:
    """A client whose connection has served a request before."""

    def __init__(self, deployment, machine, number, log):
        self.deployment = deployment
        self.machine = machine
        self.number = number
        self.log = log

    async def connect(self) -> bool:
        """Opens the connection; returns whether a first request is served."""
        self.reader, self.writer = await asyncio.open_connection(
            self.machine.ip, self.deployment.ports.outbound
        )
        answer = await self.send(f"first-{self.number}")
        return answer is not None and answer.status == 200

    async def send(self, attempt) -> messages.Message | None:
        """Sends a booking; returns its answer, None if there is none."""
        self.log.add(f"client sends {attempt} to {self.machine.name}")
        self.writer.write(
            messages.encode(
                "POST /place/1 HTTP/1.1",
                {
                    "Host": "front.example",
                    "X-Mangobay-Attempt-Id": attempt,
                    "X-Mangobay-Deadline-Ms": str(DEADLINE_MS),
                },
                b"booking",
            )
        )
        answer = None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                answer = await messages.read_message(self.reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.log.add(f"{attempt}: {error!r}")
        status = answer.status if answer else "no answer"
        self.log.add(f"client gets {status} for {attempt}")
        return answer


async def send_upload(deployment, machine, number, log) -> None:
    """Sends an upload on a connection of its own."""
    size = LARGEST_BODY_BYTES if case.has_trouble() else USUAL_BODY_BYTES
    data = messages.encode(
        "POST /upload/1 HTTP/1.1",
        {
            "Host": "front.example",
            "X-Mangobay-Attempt-Id": f"upload-{number}",
            "X-Mangobay-Deadline-Ms": str(DEADLINE_MS),
        },
        bytes(size),
    )
    log.add(f"client sends upload-{number} of {size} bytes to {machine.name}")
    answer = await messages.exchange(
        machine.ip, deployment.ports.outbound, data, DEADLINE_MS / 1000
    )
    status = answer.status if answer else "no answer"
    log.add(f"client gets {status} for upload-{number}")


class TestLargeUploads:
    """Uploads within the limits beside bookings."""

    async def test_every_booking_is_answered(
        self, deployment, log
    ) -> case.Verdict:
        """Sends uploads beside bookings, and looks which bookings are answered."""
        await deployment.start_all(work_seconds=WORK_SECONDS)
        manifest = manifests.manifest(
            2,
            [
                manifests.route("/place/", "placement"),
                manifests.route("/upload/", "documents", "upload"),
            ],
            SERVICES,
        )
        response = await deployment.order(manifest, "0")
        if response is None or response.status != 200:
            return case.Verdict.NOT_RUN
        await deployment.wait_until_ready()
        await asyncio.sleep(STABLE_SECONDS)
        platform = Platform(deployment, log)
        watch = asyncio.create_task(platform.watch())
        machine = deployment.sidecars[0]
        clients = [Client(deployment, machine, n, log) for n in range(BOOKINGS)]
        served = await asyncio.gather(*(client.connect() for client in clients))
        if not all(served):
            return case.Verdict.NOT_RUN
        bookings = [
            asyncio.create_task(client.send(f"booking-{client.number}"))
            for client in clients
        ]
        await asyncio.sleep(0.3)
        await asyncio.gather(
            *(send_upload(deployment, machine, n, log) for n in range(UPLOADS))
        )
        answers = await asyncio.gather(*bookings)
        await asyncio.sleep(1.0)
        watch.cancel()
        for name, peak in platform.peaks.items():
            log.add(f"{name} used {peak:.0f} MiB at its peak")
        return judge(deployment, log, answers)


def judge(deployment, log, answers) -> case.Verdict:
    """Returns whether kept connections were closed with a booking passed on."""
    cut = 0
    for number, answer in enumerate(answers):
        attempt = f"booking-{number}"
        run = upstream.find_run(deployment.upstreams.values(), attempt)
        if answer is None and run is not None:
            cut += 1
            log.add(f"{attempt} was passed on and has no answer: {run.ended}")
    log.add(f"{cut} bookings were passed on and never answered")
    broken = cut > ALLOWED_CUTS
    return case.Verdict.BROKEN if broken else case.Verdict.HELD


if __name__ == "__main__":
    case.run(FOLDER, make, TestLargeUploads().test_every_booking_is_answered)
