"""The control group's agreement on one log, in the Raft family."""

import asyncio
import collections.abc
import random
import typing

from mangobay import (
    compaction,
    election,
    errors,
    ids,
    invariants,
    logs,
    options,
    progress,
    replication,
    snapshottransfer,
    stepdown,
    storage,
    voters,
    waiters,
)
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import peers


FIRST_CAMPAIGN_SHARE = 0.5
"""Share of an election timeout within which a process that has just started
campaigns: long enough for the others of a group to have started as well."""


class StateMachine(typing.Protocol):
    """The state that the log builds."""

    def apply(self, entry: messages.LogEntry) -> None:
        """Takes in one entry; called for every entry, in order, once a run."""

    def snapshot(self) -> messages.Snapshot:
        """Returns the whole state; the group fills index, term and voters."""

    def restore(self, snapshot: messages.Snapshot) -> None:
        """Replaces the whole state."""


class Group:
    """One control host's part in the group.

    Whatever changes the log or the hard state holds `lock` over its sync, so
    that each sees the other's result whole; only the leader appends without
    it, in memory, and never after it has stopped to lead.

    Attributes:
      role: what this host is in `term`.
      commit_index: newest index known to be committed.
      applied_index: newest index the machine has taken in.
      leader: name of the current leader, empty when unknown.
      leader_address: its peer address, empty when unknown.
      followers: the other control hosts.
      waiters: the callers that wait on this host's lead.
      incoming_snapshot: a leader's snapshot that is on its way here.
      term_start_index: index of the first entry of the term that this host leads.
    """

    def __init__(
        self,
        group_settings: settings.ControlGroup,
        log: storage.Storage,
        machine: StateMachine,
        transport: "peers.Transport",
        *,
        host: ids.HostId,
        address: options.Address,
        rng: random.Random,
    ):
        self.settings = group_settings
        self.log = log
        self.machine = machine
        self.transport = transport
        self.host = host
        self.address = address
        self.rng = rng
        self.lock = asyncio.Lock()
        self.role = election.Role.FOLLOWER
        self.commit_index = 0
        self.applied_index = 0
        self.leader = ids.HostId("")
        self.leader_address = ""
        self.leader_contact_at = float("-inf")
        self.campaign_at = 0.0
        self.term_start_index = 0
        self.elected_at = 0.0
        self.leader_of_term = (0, ids.DiskId(""))
        self.voters = voters.Voters()
        self.waiters = waiters.Waiters()
        self.flush_needed = asyncio.Event()
        self.leading = asyncio.Event()
        self.snapshot_due = asyncio.Event()
        self.followers = progress.Followers(
            [other for other in group_settings.hosts if other != address]
        )
        self.background_tasks: set[asyncio.Task] = set()
        self.task_group: asyncio.TaskGroup | None = None
        self.incoming_snapshot: snapshottransfer.IncomingSnapshot | None = None
        compaction.restore_from_log(self)

    @property
    def term(self) -> int:
        """The newest term that this host has heard of."""
        return self.log.hard_state.term

    @property
    def identity(self) -> ids.DiskId:
        """The disk that votes for this host."""
        return self.log.hard_state.identity

    @property
    def is_voter(self) -> bool:
        """Whether this host's disk is agreed on as a voter's."""
        agreed = not self.voters.has_pending_change(self.commit_index)
        return agreed and self.voters.is_voter(self.identity)

    def now(self) -> float:
        """Returns the monotonic time, in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Takes part in the group until cancelled.

        Raises:
          errors.StorageError: the disk failed; this host has stopped to lead
            and claims nothing more.
        """
        self.schedule_first_campaign()
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(election.run_election_timer(self))
                tasks.create_task(self.flush_log())
                tasks.create_task(compaction.take_snapshots(self))
                self.task_group = tasks
                for follower in self.followers.all:
                    tasks.create_task(replication.replicate(self, follower))
        except BaseExceptionGroup as error_group:
            raise error_group.exceptions[0] from None
        finally:
            self.stop()

    def add_follower(self, address: options.Address) -> None:
        """Takes another control host among the followers."""
        if address == self.address or self.followers.find(address):
            return
        follower = self.followers.add(address, self.log.last_index + 1)
        if self.task_group is not None:
            self.task_group.create_task(replication.replicate(self, follower))

    def add_voter_followers(self) -> None:
        """Takes every voter that the log names among the followers."""
        for peer in self.voters.newest():
            self.add_follower(options.parse_address(peer.address))

    def voter_addresses(self) -> list[str]:
        """Returns the peer addresses of the voters."""
        return [peer.address for peer in self.voters.newest()]

    def stop(self) -> None:
        """Lets nothing more be written or answered."""
        self.step_down()
        self.log.failure = self.log.failure or "the group has stopped"
        for task in self.background_tasks:
            task.cancel()

    async def handle(self, body: messages.EnvelopeBody) -> typing.Any:
        """Answers another control host.

        Raises:
          errors.StorageError: the disk failed: nothing was acknowledged.
          errors.PeerProtocolError: the message is not for the group.
        """
        # A sender that hangs up cancels the caller of this.  Cancelled over a
        # sync, the log in memory would not know what the disk holds, and the
        # next write would repeat it.
        return await asyncio.shield(
            self.start_background_task(self.process_request(body))
        )

    def start_background_task(
        self,
        coroutine: collections.abc.Coroutine[
            typing.Any, typing.Any, typing.Any
        ],
    ) -> asyncio.Task:
        """Starts work for another control host that only `stop` cancels."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.discard_task)
        return task

    def discard_task(self, task: asyncio.Task) -> None:
        """Forgets an answer, also one whose asker is gone."""
        self.background_tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def process_request(self, body: messages.EnvelopeBody) -> typing.Any:
        """Answers another control host, to the end."""
        async with self.lock:
            try:
                self.log.check_usable()
                return await self.dispatch(body)
            except errors.StorageError:
                self.abort_run()
                raise

    def abort_run(self) -> None:
        """Ends `run` with the error of the disk."""
        self.step_down()
        self.flush_needed.set()

    async def dispatch(self, body: messages.EnvelopeBody) -> typing.Any:
        """Answers by the kind of message; `lock` is held."""
        match body:
            case messages.VoteRequest():
                return await election.handle_vote_request(self, body)
            case messages.AppendRequest():
                reply = await replication.handle_append_request(self, body)
                if body.leaving and body.term == self.term:
                    stepdown.handle_leader_leaving(self)
                return reply
            case messages.SnapshotPut():
                return await snapshottransfer.handle_snapshot_put(self, body)
        raise errors.PeerProtocolError(
            f"{type(body).__name__} is no message for the group"
        )

    async def send_request(
        self,
        address: options.Address,
        body: messages.EnvelopeBody,
        timeout: float,
    ) -> messages.EnvelopeBody | None:
        """Returns another control host's answer, None when none came.

        Args:
          address: where it listens.
          body: the request.
          timeout: how long to wait, seconds.
        """
        try:
            return await self.transport.send_request(address, body, timeout)
        except (errors.PeerError, TimeoutError):
            return None

    async def propose(self, body: messages.LogEntryBody) -> messages.LogEntry:
        """Adds an entry to the log; returns once it is applied here.

        Raises:
          errors.NotLeaderError: nothing was added.
          errors.UncertainError: added, but leadership was lost before it was
            committed; it may take effect under a later leader.
        """
        if self.role is not election.Role.LEADER:
            raise self.not_leader_error()
        entry = self.append(body)
        return await self.waiters.add_proposal(entry.index)

    async def confirm_leadership(self) -> None:
        """Returns once a quorum said, after this call, that this host leads.

        The machine then holds everything that was committed anywhere before
        the call.  Callers that come together share one round.

        Raises:
          errors.NotLeaderError: it does not lead, or lost the lead meanwhile.
        """
        if self.role is not election.Role.LEADER:
            raise self.not_leader_error()
        confirmation = self.waiters.add_confirmation()
        self.resolve_confirmations()
        self.followers.wake_all()
        await confirmation

    def not_leader_error(self) -> errors.NotLeaderError:
        """Returns the error that names the leader, when it is known."""
        return errors.NotLeaderError(self.leader, self.leader_address)

    def append(self, body: messages.LogEntryBody) -> messages.LogEntry:
        """Adds an entry of the own term to the log, in memory."""
        entry = messages.LogEntry(
            index=ids.LogIndex(self.log.last_index + 1),
            term=ids.Term(self.term),
            body=body,
        )
        self.log.append([entry])
        self.voters.add_entries([entry])
        self.flush_needed.set()
        self.followers.wake_all()
        return entry

    def reset_election_timer(self) -> None:
        """Waits a new random election timeout before the next campaign."""
        timeout = self.settings.election_timeout * (1 + self.rng.random())
        self.campaign_at = self.now() + timeout

    def schedule_first_campaign(self) -> None:
        """Sets the first campaign of a process that has just started.

        After everything lost power at once nobody leads, and callers wait for
        an election.  Where somebody leads, the others say so in the poll that
        goes before a campaign, and nothing is disturbed.
        """
        max_delay = FIRST_CAMPAIGN_SHARE * self.settings.election_timeout
        self.campaign_at = self.now() + max_delay * (0.2 + self.rng.random())

    async def flush_log(self) -> None:
        """Syncs what the leader appended; what comes meanwhile shares a sync."""
        while True:
            await self.flush_needed.wait()
            self.flush_needed.clear()
            async with self.lock:
                await self.log.flush()
            self.advance_commit_index()

    async def enter_term(self, term: int, voted_for: str = "") -> None:
        """Follows in a newer term, or votes in the own; synced on return.

        The caller holds `lock`.

        Raises:
          errors.StorageError: the disk failed; nothing may be told.
        """
        self.step_down()
        if term > self.term:
            self.leader = ids.HostId("")
            self.leader_address = ""
        if (term, voted_for) != (self.term, self.log.hard_state.voted_for):
            await self.save_hard_state(term, voted_for)

    async def save_hard_state(self, term: int, voted_for: str) -> None:
        """Makes term, vote and what is known to be committed durable."""
        # A leader's commit can be ahead of its own disk; a log that ends
        # before the saved commit would be refused as damaged.
        durable_commit = min(self.commit_index, self.log.synced_index)
        await self.log.save_hard_state(
            term, ids.DiskId(voted_for), durable_commit
        )

    def step_down(self) -> None:
        """Becomes a follower; tells everyone who waits on this leader."""
        if self.role is election.Role.LEADER:
            logs.log_event(
                logs.Component.GROUP, "stops to lead", term=self.term
            )
            self.leader = ids.HostId("")
            self.leader_address = ""
            self.reset_election_timer()
        self.role = election.Role.FOLLOWER
        self.leading.clear()
        self.waiters.fail_all(self.not_leader_error())

    def become_leader(self) -> None:
        """Leads in the current term; the caller holds `lock`."""
        logs.log_event(logs.Component.GROUP, "leads", term=self.term)
        self.check_single_leader(self.term, self.identity)
        self.role = election.Role.LEADER
        self.add_voter_followers()
        self.leader = self.host
        self.leader_address = str(self.address)
        self.elected_at = self.now()
        self.term_start_index = self.log.last_index + 1
        self.followers.reset(self.log.last_index + 1)
        self.leading.set()

    def check_single_leader(self, term: int, identity: ids.DiskId) -> None:
        """Asserts that a term has one leader, as far as this host sees."""
        known_term, known_leader = self.leader_of_term
        invariants.check(
            invariants.Invariant.ONE_LEADER_A_TERM,
            term != known_term or identity == known_leader,
            f"term {term} is led by {known_leader} and by {identity}",
        )
        if term > known_term:
            self.leader_of_term = (term, identity)

    def advance_commit_index(self) -> None:
        """Commits what a quorum holds durably; only the leader counts."""
        while self.role is election.Role.LEADER:
            index = self.quorum_value(
                progress.Measure.MATCH_INDEX, own_value=self.log.synced_index
            )
            # An entry of an earlier term that a majority holds can still be
            # overwritten by a host with a later term; one of the own term
            # cannot, and takes all before it along.
            if index < self.term_start_index or index <= self.commit_index:
                break
            self.commit_and_apply(int(index))
        self.resolve_confirmations()

    def resolve_confirmations(self) -> None:
        """Answers the callers whose round a quorum has confirmed."""
        # Before an entry of its own term is committed, a new leader does not
        # know everything that the former one had committed.
        if (
            self.role is not election.Role.LEADER
            or self.commit_index < self.term_start_index
        ):
            return
        confirmed_round = self.quorum_value(
            progress.Measure.CONFIRMED_ROUND,
            own_value=self.waiters.newest_round,
        )
        self.waiters.resolve_confirmations(confirmed_round)

    def quorum_value(
        self, measure: progress.Measure, own_value: float
    ) -> float:
        """Returns what a quorum of the voters has reached."""

        def value(identity: ids.DiskId) -> float:
            if identity == self.identity:
                return own_value
            return self.followers.value_of(identity, measure)

        if not self.commit_index and measure is progress.Measure.MATCH_INDEX:
            # Were a group founded with one disk still empty, the loss of the
            # others would leave empty disks only, and those found anew.
            return self.voters.unanimous_value(value)
        return self.voters.quorum_value(self.commit_index, value)

    def commit_and_apply(self, index: int) -> None:
        """Takes in that everything up to an index is committed; applies it."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.applied_index < self.commit_index:
            entry = self.log.entry(self.applied_index + 1)
            self.machine.apply(entry)
            self.applied_index = entry.index
            self.waiters.resolve_proposal(entry)
        entries_since_snapshot = (
            self.applied_index - self.log.snapshot.last_index
        )
        if entries_since_snapshot >= self.settings.snapshot_entries:
            self.snapshot_due.set()
