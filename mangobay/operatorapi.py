"""The operator API of a control host: JSON over HTTP."""

import asyncio
import dataclasses
import functools
import typing

import prometheus_client
from aiohttp import web

from mangobay import (
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
    sheet,
    sheetacceptance,
    statemachine,
    viewactivity,
)
from mangobay.generated import messages

MAX_WAIT_SECONDS = 60.0
"""Seconds that an answer about a revision is kept back at most."""

DEFAULT_LIMITS = connectionlimits.Limits()

MAX_NAME_LENGTH = 200
"""Characters of a version or an operator's name."""

SHUTDOWN_TIMEOUT_SECONDS = 2.0
"""Seconds that answers under way have when this host stops."""


class Group(leases.Group, typing.Protocol):
    """What the operator API needs of `consensus.Group`.

    Attributes:
      host: the name of this control host.
      commit_index: newest index known to be committed.
      is_voter: whether it is a voter; a repaired one is once it has caught up.
    """

    host: ids.HostId
    commit_index: ids.LogIndex
    is_voter: bool


class OperatorApi:
    """Answers operators; only the leader, confirmed, tells state.

    Attributes:
      address: where it listens; with port 0, the port taken once started.
      drain_manager: the calls in flight.
    """

    routes = (
        ("POST", "/v1/sheets", "post_sheet"),
        ("GET", "/v1/status", "get_status"),
        ("GET", "/v1/history", "get_history"),
        ("GET", "/v1/hosts", "get_hosts"),
        ("POST", "/v1/hosts/{host}/drain", "post_drain"),
        ("GET", "/v1/revisions/{revision}/in-force", "get_in_force"),
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
        limits: connectionlimits.Limits = DEFAULT_LIMITS,
    ):
        self.address = address
        self.group = group
        self.machine = state_machine
        self.leases = lease_table
        self.acceptance = sheetacceptance.SheetAcceptor(state_machine, group)
        self.registry = prometheus_client.CollectorRegistry()
        self.registry.register(
            controlmetrics.ControlCollector(group, state_machine, lease_table)
        )
        self.limits = limits
        self.connection_limiter = connectionlimits.ConnectionLimiter(limits)
        self.drain_manager = drainmanager.DrainManager()
        self.server: asyncio.Server | None = None
        app = web.Application(
            client_max_size=sheet_bytes,
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
        """Opens the socket.

        Raises:
          errors.StartError: the address is in use or not of this host.
        """
        await self.runner.setup()
        try:
            self.server = await listening.open_server(
                self.address,
                self.connection_limiter.open(self.runner.server, *self.address),
            )
        except errors.StartError:
            await self.runner.cleanup()
            raise
        self.address = listening.bound_address(self.address, self.server)

    async def drain(self, seconds: float) -> None:
        """Refuses new calls; gives up those that last longer than a time."""
        await self.drain_manager.drain(seconds)

    async def close(self) -> None:
        """Ends the answers under way and closes the socket."""
        await self.drain(0)
        if self.server is not None:
            self.server.close()
        await self.runner.cleanup()

    @web.middleware
    async def close_when_draining(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        """Ends a connection behind its answer once the host stops."""
        response = await handler(request)
        if self.drain_manager.draining:
            response.force_close()
        return response

    @web.middleware
    async def track_request(
        self, request: web.Request, handler
    ) -> web.StreamResponse:
        """Takes a call unless the host stops."""
        return await self.drain_manager.run(functools.partial(handler, request))

    async def post_sheet(self, request: web.Request) -> web.Response:
        """Takes in a sheet, whole or not at all."""
        version = ids.SheetVersion(required_parameter(request, "version"))
        operator = required_parameter(request, "operator")
        async with asyncio.timeout(self.limits.request_timeout):
            data = await request.read()
        parsed_sheet = await asyncio.to_thread(sheet.parse, data, "sheet")
        result = await self.acceptance.accept(parsed_sheet, version, operator)
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
        """Tells of the control group and of every host."""
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
        """Tells the newest accepted sheets, oldest first."""
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
        """Tells every host that is not gone."""
        await self.confirm_leadership()
        return web.json_response({"hosts": self.encode_hosts()})

    async def post_drain(self, request: web.Request) -> web.Response:
        """Asks a host to leave; asked again, it answers the same."""
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

    async def get_in_force(self, request: web.Request) -> web.Response:
        """Tells how far a revision has come, after a wait."""
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
        # What hosts reported to a leader deposed meanwhile may be old.
        await self.confirm_leadership()
        return web.json_response(encode_in_force(rollout))

    async def get_health(self, request: web.Request) -> web.Response:
        """Tells that this process answers, and what it takes itself for."""
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
        """Tells the metrics in the Prometheus text format."""
        text = prometheus_client.generate_latest(self.registry)
        content_type = prometheus_client.CONTENT_TYPE_LATEST
        return web.Response(body=text, headers={"Content-Type": content_type})

    async def confirm_leadership(self) -> None:
        """Makes sure that this host leads and holds everything committed.

        Raises:
          errors.NotLeaderError: another host must be asked.
        """
        await self.group.confirm_leadership()
        self.leases.check_leadership()

    def encode_hosts(self) -> list[dict]:
        """Returns every host as the API tells it."""
        return [
            self.encode_host(self.machine.members[host])
            for host in sorted(self.machine.members)
        ]

    def encode_host(self, member_record: messages.MemberRecord) -> dict:
        """Returns a host as the API tells it."""
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
    """Returns how far a revision has come as the API tells it."""
    return {
        "count": rollout.host_count - len(rollout.stragglers),
        "of": rollout.host_count,
        "stragglers": rollout.stragglers,
    }


def required_parameter(request: web.Request, name: str) -> str:
    """Returns a query parameter that must be there.

    Raises:
      errors.BadRequestError: it is missing or too long.
    """
    value = request.query.get(name, "").strip()
    if not value or len(value) > MAX_NAME_LENGTH:
        raise errors.BadRequestError(
            f"give {name}, 1 to {MAX_NAME_LENGTH} characters, in the query"
        )
    return value


def parse_number(text: str, convert: type, name: str) -> typing.Any:
    """Returns the number that a parameter holds.

    Raises:
      errors.BadRequestError: it is none.
    """
    try:
        return convert(text)
    except ValueError:
        raise errors.BadRequestError(
            f"{name} {text!r} is not a number"
        ) from None
