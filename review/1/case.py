"""Full upstreams, whose rejections are followed by a late second copy."""

import asyncio
import collections
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import case, fleet, manifests, messages, upstream  # noqa: E402

SERVICES = ["archiv", "abo", "anzeigen", "reichweite"]
SIDECARS = {"archiv": 8, "abo": 5, "anzeigen": 4, "reichweite": 4}
"""The 16 sidecars of the page, and 5 that were added (`scale_out`)."""
BOUNDS = {"retry_budget_slack": 50}
STABLE_SECONDS = 3.0
SLOTS = 125
WORK_SECONDS = 0.16
REJECTED_SHARE = 0.3
REJECTED_SECONDS = 8.5
EXTRA_SHARE = 0.03
TROUBLED_SERVERS = 3
"""Upstreams of the service that reject requests and repeat answers."""
EXTRA_SECONDS = 5.0
MAX_ROUNDS = 7
MIN_ROUNDS = 2
END_SECONDS = 10.0
"""Seconds that are left for the last requests and the record."""
CLIENTS = 36
PAUSE_SECONDS = 0.12
SEED = 61


class GreyUpstream(upstream.Upstream):
    """Rejects some requests; some answers have a late second copy.

    The copy comes at the point where the next answer on the connection is
    expected.

    Attributes:
      copies: whether some answers have second copies.
      rejects: whether some requests are rejected.
      extra_count: second copies sent.
      answer_count: answers sent.
    """

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.copies = False
        self.rejects = False
        self.rng = random.Random(f"{SEED} {self.instance}")
        self.extra_count = 0
        self.answer_count = 0

    async def serve(self, reader, writer) -> None:
        """Serves the requests of one connection, one at a time."""
        task = asyncio.current_task()
        self.tasks.add(task)
        extra = b""
        try:
            while True:
                request = await messages.read_message(reader)
                if extra:
                    attempt = request.headers.get("x-mangobay-attempt-id")
                    self.log.add(
                        f"{self.instance} sends the second copy of an answer,"
                        f" as {attempt} has come on its connection"
                    )
                    writer.write(extra)
                    self.extra_count += 1
                answer = await self.answer(request, reader)
                self.answer_count += 1
                extra = b""
                if self.copies and self.rng.random() < EXTRA_SHARE:
                    extra = answer
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.tasks.discard(task)
            writer.close()

    async def answer(self, request, reader) -> bytes:
        """Returns the answer to a request, which may be a rejection."""
        attempt = request.headers.get("x-mangobay-attempt-id", "")
        if self.rejects and self.rng.random() < REJECTED_SHARE:
            self.log.add(f"{self.instance} rejects {attempt}")
            headers = {
                "X-Mangobay-Attempt-Id": attempt,
                "X-Mangobay-Not-Executed": "1",
                "Keep-Alive": f"timeout={upstream.KEEP_ALIVE_SECONDS}",
            }
            return messages.encode("HTTP/1.1 503 Full", headers)
        return await self.respond(request, reader)


def make(log):
    """Returns the deployment: five core machines and 21 sidecars."""
    services = [name for name, n in SIDECARS.items() for _ in range(n)]
    return fleet.Fleet(log, services, bounds=BOUNDS)


def count_rounds(seconds_left: float) -> int:
    """Returns how often the trouble comes in the time left for the case."""
    return min(MAX_ROUNDS, int((seconds_left - END_SECONDS) / REJECTED_SECONDS))


async def send_bookings(deployment, number: int, rounds: int, statuses) -> None:
    """Sends bookings of one client, one after the other."""
    loop = asyncio.get_running_loop()
    rng = random.Random(f"{SEED} client {number}")
    end_at = loop.time() + rounds * REJECTED_SECONDS
    sent = 0
    while loop.time() < end_at:
        machine = deployment.sidecars[rng.randrange(len(deployment.sidecars))]
        attempt = f"booking-{number}-{sent}"
        sent += 1
        answer = await deployment.request(machine, "/book/1", attempt)
        statuses[attempt] = answer.status if answer else 0
        await asyncio.sleep(rng.uniform(0, 2 * PAUSE_SECONDS))


async def make_trouble(deployment, rounds: int, log) -> None:
    """Lets some upstreams of a service reject requests and repeat answers."""
    servers = [
        deployment.upstreams[machine.name]
        for machine in deployment.sidecars
        if machine.service == "abo"
    ][:TROUBLED_SERVERS]
    for _ in range(rounds):
        for server in servers:
            server.rejects = True
            server.copies = case.has_trouble()
        log.add("some requests are rejected, some answers come twice")
        await asyncio.sleep(EXTRA_SECONDS)
        for server in servers:
            server.copies = False
        log.add("no answer comes twice any more")
        await asyncio.sleep(REJECTED_SECONDS - EXTRA_SECONDS)


class TestSecondCopies:
    """Bookings at upstreams whose rejections have a late second copy."""

    async def test_no_booking_runs_twice(self, deployment, log) -> case.Verdict:
        """Sends bookings, and counts how often each was run."""
        give_up_at = time.monotonic() + case.MAX_SECONDS
        for machine in deployment.sidecars:
            deployment.make_upstream(
                machine,
                kind=GreyUpstream,
                slots=SLOTS,
                work_seconds=WORK_SECONDS,
            )
        await deployment.start_all()
        manifest = manifests.manifest(
            2, [manifests.route("/book/", "abo", max_attempts=1)], SERVICES
        )
        response = await deployment.order(manifest, "0")
        if response is None or response.status != 200:
            return case.Verdict.NOT_RUN
        await deployment.wait_until_ready()
        await asyncio.sleep(STABLE_SECONDS)
        rounds = count_rounds(give_up_at - time.monotonic())
        if rounds < MIN_ROUNDS:
            return case.Verdict.NOT_RUN
        statuses: dict[str, int] = {}
        await asyncio.gather(
            make_trouble(deployment, rounds, log),
            *(
                send_bookings(deployment, n, rounds, statuses)
                for n in range(CLIENTS)
            ),
        )
        await asyncio.sleep(2.0)
        return judge(deployment, log, statuses)


def judge(deployment, log, statuses) -> case.Verdict:
    """Returns whether a booking ran twice, or ran though it was refused."""
    runs = collections.Counter(
        run.attempt
        for server in deployment.upstreams.values()
        for run in server.runs
    )
    servers = deployment.upstreams.values()
    log.add(
        f"{sum(s.answer_count for s in servers)} answers,"
        f" {sum(s.extra_count for s in servers)} second copies"
    )
    for status, count in sorted(collections.Counter(statuses.values()).items()):
        log.add(f"clients got {status}: {count}")
    twice = [attempt for attempt, count in runs.items() if count > 1]
    for attempt in twice:
        log.add(f"{attempt} was run {runs[attempt]} times")
    refused = [
        attempt
        for attempt, status in statuses.items()
        if status in (408, 421, 429, 503) and runs[attempt]
    ]
    for attempt in refused:
        log.add(f"{attempt} got {statuses[attempt]} and was run")
    log.add(f"{len(twice)} ran twice, {len(refused)} were refused and ran")
    broken = bool(twice or refused)
    return case.Verdict.BROKEN if broken else case.Verdict.HELD


if __name__ == "__main__":
    case.run(FOLDER, make, TestSecondCopies().test_no_booking_runs_twice)
