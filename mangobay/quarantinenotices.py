"""Exchange of quarantined requests between the nodes of a service."""

import asyncio
import collections.abc
import dataclasses
import math
import random
import typing

import xxhash

from mangobay import errors, ids, logs, options, quarantine
from mangobay.generated import messages

if typing.TYPE_CHECKING:
    from mangobay import peers

SEND_TIMEOUT_SECONDS = 2.0
"""A node that does not reply within this time is told again later."""
TELL_TIMEOUT_SECONDS = 0.05
"""How long a reply is delayed until the other nodes know of an end.

A retry of the call leaves with the reply.  It takes one hop more than a notice,
but may find a connection open where the notice has to open one.
"""
RELEASE_DELAY_SECONDS = 0.1
"""How long released requests are collected, so that fewer notices are sent."""
MAX_PARALLEL_NOTICES = 64
MAX_ASKED_NODES = 5
"""Nodes that a node asks for what they know after its start.

They are drawn by lot: a rack of nodes that restart together would ask each other.
"""
ANSWER_WAIT_SECONDS = 0.25
"""How long runs wait for the answers of the nodes that are asked after a start. A
node that is frozen or cut off must not keep a service from its only free server."""
KEEPERS = 3
"""Members that keep the claims of one request; a majority permits a run."""
CLAIM_TIMEOUT_SECONDS = 0.5
RECHECK_SECONDS = 0.5
"""After this time the server here has outlived what it responded to before."""
RESEND_SECONDS = (0.5, 1.0, 2.0, 4.0)
"""Delays before a member that could not be told is told again."""

Result = typing.TypeVar("Result")
Views = collections.abc.Mapping[ids.ServiceName, messages.ServiceView]

HasOutlived = collections.abc.Callable[[ids.RequestDigest], bool]


@dataclasses.dataclass(slots=True)
class Batch:
    """Changes that are sent in one notice.

    Attributes:
      sent: done once every member has replied or failed to.
      suspects: the changes.
    """

    sent: asyncio.Future[None]
    suspects: list[messages.SuspectRequest] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """What other members are asked after a start.

    Attributes:
      asked_at: loop time at which they were asked.
      tasks: one for each asked member, with whether it has replied.
    """

    asked_at: float
    tasks: list[asyncio.Task[bool]]


class QuarantineExchange:
    """Tells the other nodes of a service, and merges what they know.

    Only they can send requests to its backend servers, so nobody else has to
    know.

    Attributes:
      host: this host, which is not told.
      transport: connections to other processes.
      quarantine: the state of this node.
      views: who serves what.
      served: the services of the backend server on this host.
      expected: the service that it will serve, as the settings say; empty if
        they do not.
      asked: the services whose members are asked for everything, or were and
        have replied.
      questions: the open ones of these questions, by service.
      batches: changes not sent yet, by service and delay.
      tasks: the messages that are being sent.
      resending: members that are told again, as they could not be told.
      has_outlived: whether the backend server here has outlived a request a
        short time ago.
    """

    def __init__(
        self,
        host: ids.HostId,
        transport: "peers.Transport",
        known: quarantine.Quarantine,
    ):
        self.host = host
        self.transport = transport
        self.quarantine = known
        self.views: Views = {}
        self.served: list[ids.ServiceName] = []
        self.expected = ids.ServiceName("")
        self.asked: set[ids.ServiceName] = set()
        self.questions: dict[ids.ServiceName, Question] = {}
        self.batches: dict[tuple[ids.ServiceName, float], Batch] = {}
        self.tasks: set[asyncio.Task] = set()
        self.resending: set[ids.HostId] = set()
        self.has_outlived: HasOutlived = lambda digest: False
        self.sending = asyncio.Semaphore(MAX_PARALLEL_NOTICES)

    def update_views(self, views: Views) -> None:
        """Notes who serves what."""
        self.views = views
        for service in {*self.served, self.expected}:
            self.ask_others(service)

    def update_served(self, services: list[ids.ServiceName]) -> None:
        """Notes the services of the backend server on this host.

        A node that does not serve a service is no member of it, and is told
        nothing.
        """
        self.asked -= {name for name in services if name not in self.served}
        self.served = services
        for service in services:
            self.ask_others(service)

    def ask_others(self, service: ids.ServiceName) -> None:
        """Asks some other members for what they know, until one has replied.

        This process may have been restarted and have forgotten it. It asks as
        soon as it knows the members: by the time its backend server is there,
        the last one that remembers may have ended.
        """
        members = self.other_members(service)
        if service in self.asked or not members:
            return
        self.asked.add(service)
        notice = messages.QuarantineNotice(all=True)
        tasks = [
            self.start(service, member, notice)
            for member in random.sample(
                members, min(MAX_ASKED_NODES, len(members))
            )
        ]

        question = Question(asyncio.get_running_loop().time(), tasks)
        self.questions[service] = question

        def note_answer(task: asyncio.Task) -> None:
            del task
            if not all(each.done() for each in tasks):
                return
            if self.questions.get(service) is question:
                del self.questions[service]
            if all(each.cancelled() or not each.result() for each in tasks):
                self.asked.discard(service)

        for task in tasks:
            task.add_done_callback(note_answer)

    async def wait_for_answers(self, service: ids.ServiceName) -> None:
        """Waits for the other members that are asked since the start."""
        question = self.questions.get(service)
        if question is None:
            return
        now = asyncio.get_running_loop().time()
        seconds = question.asked_at + ANSWER_WAIT_SECONDS - now
        if seconds > 0:
            await asyncio.wait(question.tasks, timeout=seconds)

    def other_members(self, service: ids.ServiceName) -> list[messages.Member]:
        """Returns the members of a service without this host."""
        view = self.views.get(service)
        members = view.members if view is not None else ()
        return [member for member in members if member.host != self.host]

    def keepers_of(
        self, service: ids.ServiceName, digest: ids.RequestDigest
    ) -> list[messages.Member]:
        """Returns the members that keep the claims of a request.

        All nodes with the same view find the same ones.
        """
        view = self.views.get(service)
        members = view.members if view is not None else ()
        return sorted(
            members,
            key=lambda member: xxhash.xxh3_64_intdigest(
                digest + member.host.encode()
            ),
        )[:KEEPERS]

    async def claim(
        self, service: ids.ServiceName, request: messages.SuspectRequest
    ) -> float:
        """Asks the keepers of a request to permit a run.

        Args:
          service: the called service.
          request: what is known of the request, and the claim.

        Returns:
          0 if it may run, else the seconds after which to ask again.
        """
        keepers = self.keepers_of(service, request.digest)
        if not keepers:
            return self.permit(request).retry_in_ms / 1000
        tasks = {
            self.start_claim(service, keeper, request) for keeper in keepers
        }
        needed = len(keepers) // 2 + 1
        deadline = asyncio.get_running_loop().time() + CLAIM_TIMEOUT_SECONDS
        granted, retry_after = 0, 0.0
        try:
            while granted < needed and granted + len(tasks) >= needed:
                done, tasks = await asyncio.wait(
                    tasks,
                    timeout=deadline - asyncio.get_running_loop().time(),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                for task in done:
                    answer = task.result()
                    granted += answer is not None and not answer.retry_in_ms
                    if answer is not None:
                        retry_after = max(
                            retry_after, answer.retry_in_ms / 1000
                        )
        except asyncio.CancelledError:
            self.withdraw_claim(service, request)
            raise
        if granted >= needed:
            return 0.0
        self.withdraw_claim(service, request)
        return retry_after or quarantine.RETRY_SECONDS

    def start_claim(
        self,
        service: ids.ServiceName,
        keeper: messages.Member,
        request: messages.SuspectRequest,
    ) -> asyncio.Task[messages.SuspectRequest | None]:
        """Starts to ask one keeper; returns the task."""
        return self.create_task(self.ask_keeper(service, keeper, request))

    async def ask_keeper(
        self,
        service: ids.ServiceName,
        keeper: messages.Member,
        request: messages.SuspectRequest,
    ) -> messages.SuspectRequest | None:
        """Returns the answer of a keeper to a claim, None without one.

        A member that knows no claims permits everything.
        """
        if keeper.host == self.host:
            return self.permit(request)
        notice = messages.QuarantineNotice(suspects=[request])
        state = await self.request_state(
            service, keeper, notice, CLAIM_TIMEOUT_SECONDS
        )
        if state is None:
            return None
        for suspect in state.suspects:
            if suspect.digest == request.digest:
                return suspect
        return messages.SuspectRequest(digest=request.digest)

    def withdraw_claim(
        self, service: ids.ServiceName, request: messages.SuspectRequest
    ) -> None:
        """Tells the keepers that a claimed run has ended no backend server."""
        withdrawal = messages.SuspectRequest(
            digest=request.digest, claim=request.claim, withdrawn=True
        )
        self.quarantine.withdraw(request.digest, request.claim)
        notice = messages.QuarantineNotice(suspects=[withdrawal])
        for keeper in self.keepers_of(service, request.digest):
            if keeper.host != self.host:
                self.start(service, keeper, notice)

    def permit(
        self, request: messages.SuspectRequest
    ) -> messages.SuspectRequest:
        """Decides on a claim as a keeper; returns the answer."""
        now = asyncio.get_running_loop().time()
        wait = self.quarantine.permit(request.digest, request.claim, now)
        known = self.quarantine.to_messages([request.digest], now)
        answer = (
            known[0]
            if known
            else messages.SuspectRequest(digest=request.digest)
        )
        answer.claim = request.claim
        answer.granted = not wait
        # Rounded up, since 0 permits the run.
        answer.retry_in_ms = math.ceil(wait * 1000)
        return answer

    async def tell(
        self, service: ids.ServiceName, suspect: messages.SuspectRequest
    ) -> None:
        """Tells the other members of a service, and waits briefly for them.

        All requests that were in progress when a backend server ended are told
        in one notice.
        """
        batch = self.add(service, suspect, 0.0)
        await asyncio.wait({batch.sent}, timeout=TELL_TIMEOUT_SECONDS)

    def tell_later(
        self, service: ids.ServiceName, suspect: messages.SuspectRequest
    ) -> None:
        """Tells the other members of a service within a short time."""
        self.add(service, suspect, RELEASE_DELAY_SECONDS)

    def add(
        self,
        service: ids.ServiceName,
        suspect: messages.SuspectRequest,
        delay: float,
    ) -> Batch:
        """Adds a change to the batch that is sent after a delay in seconds."""
        batch = self.batches.get((service, delay))
        if batch is None:
            loop = asyncio.get_running_loop()
            batch = self.batches[service, delay] = Batch(loop.create_future())
            loop.call_later(delay, self.flush, service, delay)
        batch.suspects.append(suspect)
        return batch

    def flush(self, service: ids.ServiceName, delay: float) -> None:
        """Sends a batch to the other members of its service."""
        batch = self.batches.pop((service, delay))
        notice = messages.QuarantineNotice(suspects=batch.suspects)
        tasks = {
            self.start(service, member, notice)
            for member in self.other_members(service)
        }
        if not tasks:
            batch.sent.set_result(None)
            return

        def finish(task: asyncio.Task) -> None:
            tasks.discard(task)
            if not tasks:
                batch.sent.set_result(None)

        for task in tuple(tasks):
            task.add_done_callback(finish)

    def start(
        self,
        service: ids.ServiceName,
        member: messages.Member,
        notice: messages.QuarantineNotice,
    ) -> asyncio.Task[bool]:
        """Starts to send a notice to a member; returns the task."""
        return self.create_task(self.send(service, member, notice))

    def create_task(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, Result],
    ) -> asyncio.Task[Result]:
        """Creates a task that is cancelled when the exchange is closed."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def send(
        self,
        service: ids.ServiceName,
        member: messages.Member,
        notice: messages.QuarantineNotice,
    ) -> bool:
        """Sends a notice to a member; returns whether it replied.

        A member that does not is told again for a while of the requests that
        are nearly or wholly quarantined.
        """
        if await self.request_state(
            service, member, notice, SEND_TIMEOUT_SECONDS
        ):
            return True
        digests = [
            suspect.digest
            for suspect in notice.suspects
            if len(suspect.end_ids) >= self.quarantine.config.after - 1
        ]
        if digests and member.host not in self.resending:
            self.resending.add(member.host)
            self.create_task(self.resend(service, member, digests))
        return False

    async def resend(
        self,
        service: ids.ServiceName,
        member: messages.Member,
        digests: list[ids.RequestDigest],
    ) -> None:
        """Tells a member again what it could not be told of some requests."""
        try:
            for delay in RESEND_SECONDS:
                await asyncio.sleep(delay)
                now = asyncio.get_running_loop().time()
                notice = messages.QuarantineNotice(
                    suspects=self.quarantine.to_messages(digests, now)
                )
                if not notice.suspects or await self.request_state(
                    service, member, notice, SEND_TIMEOUT_SECONDS
                ):
                    return
        finally:
            self.resending.discard(member.host)

    async def request_state(
        self,
        service: ids.ServiceName,
        member: messages.Member,
        notice: messages.QuarantineNotice,
        timeout: float,
    ) -> messages.QuarantineState | None:
        """Returns the reply of a member to a notice, None without one.

        What it knows beyond the notice is merged.
        """
        address = options.parse_address(member.peer_address)
        try:
            async with self.sending:
                reply = await self.transport.send_request(
                    address, notice, timeout
                )
        except (errors.PeerError, TimeoutError) as error:
            logs.log_event(
                logs.Component.CALL,
                "a member was not told of suspected requests",
                host=member.host,
                why=str(error) or type(error).__name__,
            )
            return None
        if not isinstance(reply, messages.QuarantineState):
            return None
        now = asyncio.get_running_loop().time()
        refutations = [
            suspect
            for suspect in reply.suspects
            if suspect.answered and self.quarantine.find(suspect.digest)
        ]
        self.quarantine.merge(reply.suspects, now)
        for refutation in refutations:
            self.tell_later(service, refutation)
        return reply

    def handle(
        self, notice: messages.QuarantineNotice
    ) -> messages.QuarantineState:
        """Merges a notice; returns what this node knows beyond it."""
        now = asyncio.get_running_loop().time()
        self.quarantine.merge(notice.suspects, now)
        replies = []
        for sent in notice.suspects:
            refutation = self.refute(sent)
            if refutation is not None:
                replies.append(refutation)
            elif sent.after_response:
                asyncio.get_running_loop().call_later(
                    RECHECK_SECONDS, self.refute, sent
                )
        for sent in notice.suspects:
            if sent.claim and not sent.withdrawn:
                replies.append(self.permit(sent))
        if notice.all:
            known = [*self.quarantine.suspects, *self.quarantine.quarantined]
            replies += self.quarantine.to_messages(known, now)
        else:
            replies += self.known_beyond(notice, now)
        return messages.QuarantineState(suspects=replies)

    def known_beyond(
        self, notice: messages.QuarantineNotice, now: float
    ) -> list[messages.SuspectRequest]:
        """Returns what this node knows of requests beyond a notice of them."""
        return [
            own
            for sent in notice.suspects
            if not sent.claim
            for own in self.quarantine.to_messages([sent.digest], now)
            if own.tests > sent.tests
            or not set(own.end_ids) <= set(sent.end_ids)
        ]

    def refute(
        self, sent: messages.SuspectRequest
    ) -> messages.SuspectRequest | None:
        """Refutes ends after a response to a request that was outlived here.

        Popular requests have responses just before any crash.
        """
        if not sent.after_response or not self.has_outlived(sent.digest):
            return None
        self.quarantine.record_response(sent.digest, sent.after_response)
        return messages.SuspectRequest(
            digest=sent.digest, answered=True, end_ids=sent.after_response
        )

    async def close(self) -> None:
        """Stops sending."""
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
