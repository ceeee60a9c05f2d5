"""The operator API of a control host: JSON over HTTP."""

import asyncio
import dataclasses
import functools
import typing

import prometheus_client
from aiohttp import web

from mangobay import (
    bodyreceiver,
    clock,
    connectionlimits,
    controlmetrics,
    drainmanager,
    errors,
    ids,
    inforce,
    leases,
    listening,
    logs,
    operatorproblems,
    options,
    quarantineadmin,
    requestmemory,
    sheet,
    sheetacceptance,
    statemachine,
    viewactivity,
)
from mangobay.generated import messages

MAX_WAIT_SECONDS = 60.0
"""Maximum seconds for which a response about a revision is delayed."""

DEFAULT_LIMITS = connectionlimits.Limits()

MAX_NAME_LENGTH = 200
"""Maximum characters of a version or an operator's name."""

LARGEST_SHEETS = 2
"""Sheets of the largest size that are received at the same time."""

SHUTDOWN_TIMEOUT_SECONDS = 2.0
"""Seconds that requests in progress may take when this host stops."""


class Group(leases.Group, typing.Protocol):
    """The part of `consensus.Group` that the operator API uses.

    Attributes:
      host: the name of this control host.
      commit_index: highest log index known to be committed.
      is_voter: whether this host is a voter; a host whose disk was replaced
        is one only after it has caught up.
    """

    host: ids.HostId
    commit_index: ids.LogIndex
    is_voter: bool

    def silent_voter_count(self) -> int:
        """Returns how many voters do not answer this host as the leader."""
        ...


class OperatorApi:
    """Serves the operator API.

    Only a leader that has confirmed its leadership returns replicated state.

    Attributes:
      address: listening address; port 0 is replaced by the actual port on
        start.
      drain_manager: runs requests, and refuses them once draining.
      quarantine_admin: lists and releases quarantined requests.
      sheet_bytes: largest sheet that is accepted.
      sheet_memory: bounds what all sheets hold that are received or accepted.
    """

    routes = (
        ("POST", "/v1/sheets", "post_sheet"),
        ("GET", "/v1/status", "get_status"),
        ("GET", "/v1/history", "get_history"),
        ("GET", "/v1/hosts", "get_hosts"),
        ("POST", "/v1/hosts/{host}/drain", "post_drain"),
        ("GET", "/v1/revisions/{revision}/in-force", "get_in_force"),
        ("GET", "/v1/services/{service}/quarantine", "get_quarantine"),
        (
            "POST",
            "/v1/services/{service}/quarantine/{digest}/release",
            "post_release",
        ),
        ("GET", "/health", "get_health"),
        ("GET", "/metrics", "get_metrics"),
    )

    def __init__(
        self,
        address: options.Address,
        group: Group,
        state_machine: statemachine.ConfigStateMachine,
        lease_table: leases.LeaseTable,
        sheet_bytes: int,
        quarantine_admin: quarantineadmin.QuarantineAdmin,
        limits: connectionlimits.Limits = DEFAULT_LIMITS,
    ):
        self.address = address
        self.group = group
        self.machine = state_machine
        self.leases = lease_table
        self.quarantine_admin = quarantine_admin
        self.sheet_acceptor = sheetacceptance.SheetAcceptor(
            state_machine, group
        )
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(
            controlmetrics.ControlCollector(group, state_machine, lease_table)
        )
        self.limits = limits
        self.connection_limiter = connectionlimits.ConnectionLimiter(limits)
        self.drain_manager = drainmanager.DrainManager()
        self.server: listening.Server | None = None
        self.sheet_bytes = sheet_bytes
        self.sheet_memory = requestmemory.RequestMemory(
            LARGEST_SHEETS * sheet_bytes
        )
        app = web.Application(
            middlewares=[
                self.connection_limiter.record_request,
                self.close_when_draining,
                operatorproblems.respond_with_problems,
                self.track_request,
            ],
        )
        for method, path, name in self.routes:
            app.router.add_route(method, path, getattr(self, name))
        self.runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS
        )

    async def start(self) -> None:
        """Opens the listening socket.

        Raises:
          errors.StartError: the address is in use or does not belong to this
            host.
        """
        await self.runner.setup()
        try:
            self.server = self.connection_limiter.open(
                self.runner.server, self.address
            )
        except errors.StartError:
            await self.runner.cleanup()
            raise
        self.address = self.server.address

    async def drain(self, seconds: float) -> None:
        """Refuses new requests; cancels those still running after `seconds`."""
        await self.drain_manager.drain(seconds)

    async def close(self) -> None:
        """Cancels the requests in progress and closes the socket."""
        await self.drain(0)
        if self.server is not None:
            await self.server.close()
        await self.runner.cleanup()

    @web.middleware
    async def close_when_draining(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        """Closes each connection after its response while draining."""
        response = await handler(request)
        if self.drain_manager.draining:
            response.force_close()
        return response

    @web.middleware
    async def track_request(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        """Runs a request, or refuses it while draining."""
        return await self.drain_manager.run(functools.partial(handler, request))

    async def post_sheet(self, request: web.Request) -> web.Response:
        """Accepts a sheet as a whole, or nothing of it."""
        version = ids.SheetVersion(required_parameter(request, "version"))
        operator = required_parameter(request, "operator")
        receiver = bodyreceiver.BodyReceiver(self.sheet_memory)
        try:
            data = await receiver.receive(
                request, self.sheet_bytes, self.limits.request_timeout
            )
            parsed_sheet = await asyncio.to_thread(sheet.parse, data, "sheet")
            result = await self.sheet_acceptor.accept(
                parsed_sheet, version, operator
            )
        finally:
            receiver.release()
        logs.log_event(
            logs.Component.CONTROL,
            "sheet accepted",
            version=version,
            operator=operator,
            revision=result.revision,
            repeated=result.repeated,
        )
        return web.json_response(dataclasses.asdict(result))

    async def get_status(self, request: web.Request) -> web.Response:
        """Returns the state of the control group and of every host."""
        await self.confirm_leadership()
        revision = self.machine.revision
        return web.json_response(
            {
                "leader": self.group.leader,
                "term": self.group.term,
                "commit": self.group.commit_index,
                "revision": revision,
                "hosts": self.encode_hosts(),
                "in_force": encode_in_force(
                    self.leases.revision_reports.rollout_status(revision)
                ),
            }
        )

    async def get_history(self, request: web.Request) -> web.Response:
        """Returns the newest accepted sheets, oldest first."""
        await self.confirm_leadership()
        items = [
            {
                "revision": item.revision,
                "version": item.version,
                "digest": item.digest.hex(),
                "operator": item.operator,
                "accepted_ms": item.accepted_ms,
                "changed_rows": item.changed_rows,
                "removed_rows": item.removed_rows,
            }
            for item in self.machine.history
        ]
        return web.json_response(
            {"items": items, "cut": self.machine.dropped_history_items}
        )

    async def get_hosts(self, request: web.Request) -> web.Response:
        """Returns every member host."""
        await self.confirm_leadership()
        return web.json_response({"hosts": self.encode_hosts()})

    async def post_drain(self, request: web.Request) -> web.Response:
        """Asks a host to leave; this is idempotent."""
        host = ids.HostId(request.match_info["host"])
        await self.confirm_leadership()
        if host not in self.machine.members:
            raise errors.NotFoundError(f"no host {host} is known")
        change = messages.DrainChange(
            host=host,
            operator=request.query.get("operator", "")[:MAX_NAME_LENGTH],
            accepted_ms=clock.unix_ms(),
        )
        await self.group.propose(change)
        return web.json_response({"host": host, "draining": True}, status=202)

    async def get_quarantine(self, request: web.Request) -> web.Response:
        """Returns the suspected requests of a service; needs no leader."""
        service = ids.ServiceName(request.match_info["service"])
        return web.json_response(
            await self.quarantine_admin.list_requests(service)
        )

    async def post_release(self, request: web.Request) -> web.Response:
        """Releases a quarantined request; this is idempotent."""
        digest = quarantineadmin.parse_digest(request.match_info["digest"])
        result = await self.quarantine_admin.release(
            ids.ServiceName(request.match_info["service"]),
            digest,
            request.query.get("operator", "")[:MAX_NAME_LENGTH],
        )
        return web.json_response(result)

    async def get_in_force(self, request: web.Request) -> web.Response:
        """Returns the rollout of a revision, waiting for it to complete."""
        revision = parse_number(request.match_info["revision"], int, "revision")
        wait_seconds = parse_number(
            request.query.get("wait", "0"), float, "wait"
        )
        await self.confirm_leadership()
        if revision > self.machine.revision:
            raise errors.NotFoundError(f"no revision {revision} was accepted")
        rollout = await self.leases.revision_reports.wait_until_in_force(
            ids.Revision(revision), min(max(wait_seconds, 0), MAX_WAIT_SECONDS)
        )
        # Without this check, a leader that was replaced during the wait
        # could return outdated reports of hosts.
        await self.confirm_leadership()
        return web.json_response(encode_in_force(rollout))

    async def get_health(self, request: web.Request) -> web.Response:
        """Returns what this host knows of its role; this needs no quorum."""
        return web.json_response(
            {
                "host": self.group.host,
                "leads": self.group.leading.is_set(),
                "votes": self.group.is_voter,
                "leader": self.group.leader,
                "term": self.group.term,
            }
        )

    async def get_metrics(self, request: web.Request) -> web.Response:
        """Returns the metrics in the Prometheus text format."""
        text = prometheus_client.generate_latest(self.registry)
        content_type = prometheus_client.CONTENT_TYPE_LATEST
        return web.Response(body=text, headers={"Content-Type": content_type})

    async def confirm_leadership(self) -> None:
        """Checks that this host leads and has applied all committed entries.

        Raises:
          errors.NotLeaderError: this host does not lead.
        """
        await self.group.confirm_leadership()
        self.leases.check_leadership()

    def encode_hosts(self) -> list[dict]:
        """Returns the JSON values of every host, sorted by name."""
        return [
            self.encode_host(self.machine.members[host])
            for host in sorted(self.machine.members)
        ]

    def encode_host(self, member_record: messages.MemberRecord) -> dict:
        """Returns the JSON object of a host."""
        member = member_record.member
        return {
            "host": member.host,
            "incarnation": member.incarnation,
            "data_centre": member.data_centre,
            "peer_address": member.peer_address,
            "revision": self.leases.revision_reports.revision_of(member.host),
            "lease": self.leases.holds_lease(
                viewactivity.process_id_of(member)
            ),
            "leaving": member.leaving,
            "draining": member.host in self.machine.draining,
            "serves": [served.name for served in member_record.serves],
        }


def encode_in_force(rollout: inforce.RolloutStatus) -> dict:
    """Returns the JSON object of a rollout status."""
    return {
        "count": rollout.host_count - len(rollout.stragglers),
        "of": rollout.host_count,
        "stragglers": rollout.stragglers,
    }


def required_parameter(request: web.Request, name: str) -> str:
    """Returns a required query parameter.

    Raises:
      errors.BadRequestError: the parameter is missing, empty or too long.
    """
    value = request.query.get(name, "").strip()
    if not value or len(value) > MAX_NAME_LENGTH:
        raise errors.BadRequestError(
            f"give {name}, 1 to {MAX_NAME_LENGTH} characters, in the query"
        )
    return value


def parse_number(text: str, convert: type, name: str) -> typing.Any:
    """Returns the value of a numeric parameter.

    Raises:
      errors.BadRequestError: the text is not a number.
    """
    try:
        return convert(text)
    except ValueError:
        raise errors.BadRequestError(
            f"{name} {text!r} is not a number"
        ) from None
