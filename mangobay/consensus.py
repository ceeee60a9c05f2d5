"""Raft consensus of the control hosts on one replicated log."""

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
    membership,
    options,
    progress,
    replication,
    snapshottransfer,
    stepdown,
    storage,
    voters,
    voterwatch,
    waiters,
)
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import peers


FIRST_CAMPAIGN_SHARE = 0.5
"""Share of an election timeout within which a process that has just started
campaigns. It is long enough for the other hosts to have started as well."""


class StateMachine(typing.Protocol):
    """The replicated state machine to which committed entries are applied."""

    def apply(self, entry: messages.LogEntry) -> None:
        """Applies one entry.

        Called in log order, once per entry and process run.
        """

    def snapshot(self) -> messages.Snapshot:
        """Returns the whole state; the caller sets index, term and voters."""

    def restore(self, snapshot: messages.Snapshot) -> None:
        """Replaces the whole state."""


def is_promised_durable(body: messages.LogEntryBody) -> bool:
    """Returns whether an operator is told that the entry is never lost."""
    return isinstance(body, messages.RoutesChange | messages.SheetChange)


class Group:
    """The Raft replica of one control host.

    Code that changes the log or the hard state holds `lock` until the change
    is synced, so that no change sees another one half done. Only the leader
    appends without the lock, in memory, and never after it has stepped down.

    Attributes:
      role: the role of this host in `term`.
      commit_index: index of the newest entry known to be committed.
      applied_index: index of the newest entry applied to the state machine.
      leader: name of the current leader, empty if unknown.
      leader_address: peer address of the leader, empty if unknown.
      leader_contact_at: loop time of the last request from a leader.
      campaign_at: loop time at which the election timer fires.
      elected_at: loop time at which this host became leader.
      leader_of_term: newest term with a known leader, and the leader's disk.
      flush_needed: set when the log has entries to sync.
      leading: set while this host is the leader.
      snapshot_due: set when the log is long enough for a snapshot.
      followers: the other control hosts.
      voter_watch: logs voters that do not answer this host as the leader.
      waiters: the callers that wait for this host as the leader.
      incoming_snapshot: the snapshot that the leader is sending, if any.
      install_lock: held while a received snapshot is staged and installed;
        taken before `lock`.
      background_tasks: running tasks that only `stop` cancels.
      term_start_index: index of the first entry that this host appended as the
        leader of its latest term.
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
        self.install_lock = asyncio.Lock()
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
        self.voter_watch = voterwatch.VoterWatch()
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
        """The newest term that this host knows."""
        return self.log.hard_state.term

    @property
    def identity(self) -> ids.DiskId:
        """The disk of this host, which is the voter."""
        return self.log.hard_state.identity

    @property
    def is_voter(self) -> bool:
        """Whether a committed configuration names this host's disk a voter."""
        agreed = not self.voters.has_pending_change(self.commit_index)
        return agreed and self.voters.is_voter(self.identity)

    def now(self) -> float:
        """Returns the loop time, in seconds."""
        return asyncio.get_running_loop().time()

    async def run(self) -> None:
        """Runs elections, replication and snapshots until cancelled.

        Raises:
          errors.StorageError: the disk failed; this host has stepped down and
            acknowledges nothing more.
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

    def add_follower(self, address: options.Address) -> bool:
        """Starts replicating to a control host; returns whether it is new."""
        if address == self.address or self.followers.find(address):
            return False
        follower = self.followers.add(address, self.log.last_index + 1)
        if self.task_group is not None:
            self.task_group.create_task(replication.replicate(self, follower))
        return True

    def add_voter_followers(self) -> None:
        """Starts replicating to every host of the newest configuration."""
        for peer in self.voters.newest() + self.voters.newest_learners():
            self.add_follower(options.parse_address(peer.address))

    def voter_addresses(self) -> list[str]:
        """Returns the peer addresses of the voters."""
        return [peer.address for peer in self.voters.newest()]

    def silent_voter_count(self) -> int:
        """Returns how many voters do not answer; 0 unless this host leads."""
        return len(membership.find_silent_voters(self))

    def stop(self) -> None:
        """Steps down, blocks further writes and cancels background tasks."""
        self.step_down()
        self.log.failure = self.log.failure or "the group has stopped"
        for task in self.background_tasks:
            task.cancel()

    async def handle(self, body: messages.EnvelopeBody) -> typing.Any:
        """Returns the reply to a request of another control host.

        Raises:
          errors.StorageError: the disk failed; nothing was acknowledged.
          errors.PeerProtocolError: the request is not a consensus request.
        """
        # A sender that disconnects cancels the caller of this method. If that
        # cancelled a sync, the log in memory would not match the disk, and
        # the next write would write the same entries again.
        return await asyncio.shield(
            self.start_background_task(self.process_request(body))
        )

    def start_background_task(
        self,
        coroutine: collections.abc.Coroutine[
            typing.Any, typing.Any, typing.Any
        ],
    ) -> asyncio.Task:
        """Starts a task that only `stop` cancels."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.discard_task)
        return task

    def discard_task(self, task: asyncio.Task) -> None:
        """Removes a finished task and marks its exception as retrieved."""
        self.background_tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def process_request(self, body: messages.EnvelopeBody) -> typing.Any:
        """Handles a request of another control host with `lock` held."""
        async with self.lock:
            try:
                self.log.check_usable()
                return await self.dispatch(body)
            except errors.StorageError:
                self.abort_run()
                raise

    def abort_run(self) -> None:
        """Steps down and lets `run` end with the error of the disk."""
        self.step_down()
        self.flush_needed.set()

    async def dispatch(self, body: messages.EnvelopeBody) -> typing.Any:
        """Passes a request to its handler; the caller holds `lock`."""
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
        """Returns another control host's reply, None if none arrives in time.

        Args:
          address: the address it listens on.
          body: the request.
          timeout: seconds to wait for the reply.
        """
        try:
            return await self.transport.send_request(address, body, timeout)
        except (errors.PeerError, TimeoutError):
            return None

    async def propose(self, body: messages.LogEntryBody) -> messages.LogEntry:
        """Appends an entry to the log; returns once it is applied here.

        Raises:
          errors.NotLeaderError: nothing was appended; it names no leader if
            the group has too few voters to accept the change.
          errors.LeadershipLostError: appended, but this host stepped down
            before the entry was committed; it may take effect under a later
            leader.
        """
        if self.role is not election.Role.LEADER:
            raise self.not_leader_error()
        if is_promised_durable(body) and not membership.tolerates_lost_disks(
            self
        ):
            raise errors.NotLeaderError(ids.HostId(""), "")
        entry = self.append(body)
        return await self.waiters.add_proposal(entry.index)

    async def confirm_leadership(self) -> None:
        """Returns once a quorum has confirmed this host's leadership.

        Only replies to requests sent after the call count. The state machine
        then holds everything that was committed anywhere before the call, so
        that reads from it are linearizable. Concurrent callers share a round
        of requests.

        Raises:
          errors.NotLeaderError: this host is not the leader, or stepped down
            while waiting.
        """
        if self.role is not election.Role.LEADER:
            raise self.not_leader_error()
        confirmation = self.waiters.add_confirmation()
        self.resolve_confirmations()
        self.followers.wake_all()
        await confirmation

    def not_leader_error(self) -> errors.NotLeaderError:
        """Returns an error that names the leader, if known."""
        return errors.NotLeaderError(self.leader, self.leader_address)

    def append(self, body: messages.LogEntryBody) -> messages.LogEntry:
        """Appends an entry of the current term to the log, in memory."""
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
        """Restarts the election timer with a new random timeout."""
        timeout = self.settings.election_timeout * (1 + self.rng.random())
        self.campaign_at = self.now() + timeout

    def schedule_first_campaign(self) -> None:
        """Sets the election timer of a process that has just started.

        The timeout is short, because after a power loss of all hosts there is
        no leader and callers wait for an election. If there is a leader, the
        other hosts refuse the pre-vote and the leader is not disturbed.
        """
        max_delay = FIRST_CAMPAIGN_SHARE * self.settings.election_timeout
        self.campaign_at = self.now() + max_delay * (0.2 + self.rng.random())

    async def flush_log(self) -> None:
        """Syncs appended entries; entries appended meanwhile share a sync."""
        while True:
            await self.flush_needed.wait()
            self.flush_needed.clear()
            async with self.lock:
                await self.log.flush()
            self.advance_commit_index()

    async def enter_term(self, term: int, voted_for: str = "") -> None:
        """Becomes a follower in a newer term, or votes in the current one.

        Term and vote are durable on return. The caller holds `lock`.

        Raises:
          errors.StorageError: the disk failed; no reply may be sent.
        """
        self.step_down()
        if term > self.term:
            self.leader = ids.HostId("")
            self.leader_address = ""
        if (term, voted_for) != (self.term, self.log.hard_state.voted_for):
            await self.save_hard_state(term, voted_for)

    async def save_hard_state(self, term: int, voted_for: str) -> None:
        """Makes the term, the vote and the commit index durable."""
        # A leader's commit index can be ahead of its own disk. A log that
        # ends before the saved commit index would be refused as corrupt.
        durable_commit = min(self.commit_index, self.log.synced_index)
        await self.log.save_hard_state(
            term, ids.DiskId(voted_for), durable_commit
        )

    def step_down(self) -> None:
        """Becomes a follower and fails every waiting caller."""
        if self.role is election.Role.LEADER:
            logs.log_event(
                logs.Component.GROUP, "stepped down as leader", term=self.term
            )
            self.leader = ids.HostId("")
            self.leader_address = ""
            self.reset_election_timer()
        self.role = election.Role.FOLLOWER
        self.leading.clear()
        self.waiters.fail_all(self.not_leader_error())

    def become_leader(self) -> None:
        """Becomes leader of the current term; the caller holds `lock`."""
        logs.log_event(logs.Component.GROUP, "became leader", term=self.term)
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
        """Asserts that this host sees only one leader in a term."""
        known_term, known_leader = self.leader_of_term
        invariants.check(
            invariants.Invariant.ONE_LEADER_A_TERM,
            term != known_term or identity == known_leader,
            f"term {term} is led by {known_leader} and by {identity}",
        )
        if term > known_term:
            self.leader_of_term = (term, identity)

    def advance_commit_index(self) -> None:
        """Commits the entries that a quorum holds durably, if leader."""
        while self.role is election.Role.LEADER:
            index = self.quorum_value(
                progress.Measure.MATCH_INDEX, own_value=self.log.synced_index
            )
            # An entry of an earlier term can still be overwritten by a later
            # leader although a majority holds it. An entry of this leader's
            # term cannot, and commits all entries before it.
            if index < self.term_start_index or index <= self.commit_index:
                break
            self.commit_and_apply(int(index))
        self.resolve_confirmations()

    def quorum_confirmed_at(self) -> float:
        """Returns when requests were sent that a quorum has answered.

        Until then no other host can have been elected. -inf if this host does
        not lead, or does not know of every committed entry yet.
        """
        if (
            self.role is not election.Role.LEADER
            or self.commit_index < self.term_start_index
        ):
            return float("-inf")
        return self.quorum_value(
            progress.Measure.LAST_CONTACT, own_value=self.now()
        )

    def resolve_confirmations(self) -> None:
        """Resumes the callers whose round a quorum has confirmed."""
        # Until an entry of its own term is committed, a new leader may not
        # know of every entry that its predecessor committed.
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
        """Returns the highest value that a quorum of the voters has reached.

        Args:
          measure: which value of the followers to use.
          own_value: the value of this host.
        """

        def value(identity: ids.DiskId) -> float:
            if identity == self.identity:
                return own_value
            return self.followers.value_of(identity, measure)

        if not self.commit_index and measure is progress.Measure.MATCH_INDEX:
            # The first entry needs every voter. If the group were bootstrapped
            # with one disk still empty, a loss of the other disks would leave
            # only empty ones, and those would bootstrap another group.
            return self.voters.unanimous_value(value)
        return self.voters.quorum_value(self.commit_index, value)

    def commit_and_apply(self, index: int) -> None:
        """Raises the commit index and applies the committed entries."""
        if index <= self.commit_index:
            return
        self.commit_index = index
        while self.applied_index < self.commit_index:
            entry = self.log.entry(self.applied_index + 1)
            self.machine.apply(entry)
            self.applied_index = entry.index
            self.waiters.resolve_proposal(entry)
        if compaction.is_snapshot_due(self):
            self.snapshot_due.set()
