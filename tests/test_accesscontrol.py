"""Requests with keys and quotas at the gateway."""

import asyncio
import types

import pytest
from adapter import platformnames

from mangobay import (
    accesscontrol,
    calls,
    gateway,
    ids,
    leanhttp,
    metrics,
    outcomelog,
    quotaclient,
    requestlog,
    retryallowance,
    routes,
    shutdown,
    workspacedirectory,
)
from mangobay.generated import messages

pytestmark = pytest.mark.looptime

KEY, OTHER_KEY = "kmgjqnirth5mgjy5rcpi", "hhacruddedev3nax7u27"
NAMES = platformnames.HEADER_NAMES
CONNECTION = types.SimpleNamespace(remote="10.0.0.1")
ALLOWED = quotaclient.Decision(quotaclient.Verdict.ALLOWED, term=3)
DENIED = quotaclient.Decision(quotaclient.Verdict.DENIED, retry_after=0.7)
UNKNOWN = quotaclient.Decision(quotaclient.Verdict.UNKNOWN, retry_after=0.5)


class FakeLease:
    """A lease on the routes document that the test ends."""

    valid = True
    current = True

    def is_current(self):
        return self.current

    def age(self):
        return 0.0 if self.valid else 10.0

    def is_valid(self):
        return self.valid


class FakeQuotaClient:
    """Gives the decision that the test sets."""

    def __init__(self):
        self.decision = ALLOWED
        self.asked = []
        self.given_back = []

    async def ask(self, workspace, max_wait, late=False):
        self.asked.append((workspace, max_wait))
        return self.decision

    def give_back(self, workspace, decision):
        self.given_back.append((workspace, decision))


class FakeDispatcher:
    """Records the requests and replies as the test says."""

    def __init__(self):
        self.requests = []
        self.reply = messages.Reply(
            outcome=messages.Outcome.ANSWERED, status=200
        )

    async def handle(self, request):
        self.requests.append(request)
        return self.reply


def make_route(name, public):
    """Returns a route for the host of its name."""
    part = routes.WeightedService(service=ids.ServiceName("s"), weight=1.0)
    return routes.Route(
        name=name,
        hostname=f"{name}.example",
        prefix="/",
        retry_safety=routes.RetrySafety.UNSAFE,
        timeout=2.0,
        target_latency=0.8,
        priority=1,
        weighted_services=(part,),
        max_attempts=1,
        public=public,
    )


class Harness:
    """A gateway with two workspaces, of which one has a quota."""

    def __init__(self, with_workspaces=True):
        self.lease = FakeLease()
        self.quotas = FakeQuotaClient()
        self.dispatcher = FakeDispatcher()
        self.parents = {}
        self.gateway = gateway.Gateway(
            NAMES,
            ids.ServiceName("front"),
            self.parents.get,
            self.dispatcher,
            metrics.Metrics(),
            requestlog.RequestLog(),
            shutdown.ShutdownSchedule(),
            accesscontrol.AccessControl(self.lease, self.quotas),
            outcomelog.OutcomeLog("n1"),
        )
        found = (
            workspacedirectory.Workspace(
                name="limited",
                key_digests=(workspacedirectory.digest_key(KEY),),
                rate=10.0,
                burst=10.0,
            ),
            workspacedirectory.Workspace(
                name="free",
                key_digests=(workspacedirectory.digest_key(OTHER_KEY),),
            ),
        )
        self.gateway.table = routes.RouteTable(
            routes.Document(
                version=4,
                routes=(make_route("shut", False), make_route("open", True)),
                services=(),
                limits=None,
                workspaces=found if with_workspaces else None,
            )
        )

    async def send(self, host="shut", key=KEY, attempt="a1", **headers):
        """Returns the response to a request."""
        fields = {
            "Host": f"{host}.example",
            NAMES.backend.attempt_id: attempt,
            NAMES.backend.deadline: "5000",
            **headers,
        }
        if key is not None:
            fields["Authorization"] = f"Bearer {key}"
        request = leanhttp.Request(
            method="POST",
            target="/x",
            headers=fields,
            raw_headers=[
                (name.encode(), value.encode())
                for name, value in fields.items()
            ],
        )
        return await self.gateway.handle(request, CONNECTION)


def header_of(response, name):
    """Returns a header of a response, or None."""
    return next(
        (each.value for each in response.headers if each.name == name), None
    )


class TestKeys:
    """Who may send requests."""

    async def test_workspace_is_told_and_the_key_is_not(self):
        harness = Harness()
        response = await harness.send(**{NAMES.workspace: "forged"})
        assert response.status == 200
        [request] = harness.dispatcher.requests
        assert request.workspace == "limited"
        forwarded = {each.name.lower() for each in request.headers}
        assert "authorization" not in forwarded
        assert NAMES.workspace.lower() not in forwarded

    @pytest.mark.parametrize("key", [None, "", "unknown", KEY[:-1]])
    async def test_request_without_a_valid_key_gets_401(self, key):
        harness = Harness()
        response = await harness.send(key=key)
        assert response.status == 401
        assert header_of(response, "WWW-Authenticate") == "Bearer"
        assert not harness.dispatcher.requests
        assert not harness.quotas.asked

    async def test_unconfirmed_keys_refuse_with_503(self):
        """Callers never send a request again after a 401."""
        harness = Harness()
        harness.lease.valid = False
        for key in (KEY, "unknown"):
            response = await harness.send(key=key)
            assert response.status == 503
            assert float(header_of(response, "Retry-After")) > 0
        assert not harness.dispatcher.requests

    async def test_public_route_needs_no_key(self):
        harness = Harness()
        harness.lease.valid = False
        assert (await harness.send("open", None)).status == 200
        assert (await harness.send("open", "unknown")).status == 200
        assert (await harness.send("open", KEY)).status == 200
        workspaces = [each.workspace for each in harness.dispatcher.requests]
        assert workspaces == ["", "", "limited"]
        assert not harness.quotas.asked

    async def test_without_workspaces_the_header_is_forwarded(self):
        harness = Harness(with_workspaces=False)
        assert (await harness.send()).status == 200
        [request] = harness.dispatcher.requests
        assert "Authorization" in {each.name for each in request.headers}

    async def test_child_call_has_the_workspace_of_its_parent(self):
        harness = Harness()
        harness.parents["a1"] = calls.Parent(
            call=messages.Call(workspace="free"),
            deadline=0.0,
            running_call=retryallowance.RunningCall(
                retryallowance.RetryAllowance(0)
            ),
        )
        await harness.send("open", None, attempt="a1.1")
        assert harness.dispatcher.requests[0].workspace == "free"

    async def test_running_parent_replaces_no_key(self):
        """Whoever guesses the id of a request gets in without a key."""
        harness = Harness()
        harness.parents["a1"] = calls.Parent(
            call=messages.Call(workspace="free"),
            deadline=0.0,
            running_call=retryallowance.RunningCall(
                retryallowance.RetryAllowance(0)
            ),
        )
        response = await harness.send("shut", None, attempt="a1.1")
        assert response.status == 401

    @pytest.mark.parametrize("status", [200, 500])
    async def test_no_log_line_has_a_key(self, capfd, status):
        harness = Harness()
        harness.dispatcher.reply.status = status
        for key in (KEY, OTHER_KEY, "unknownkey"):
            await harness.send(key=key)
            harness.lease.valid = not harness.lease.valid
        printed = "".join(capfd.readouterr())
        for key in (KEY, OTHER_KEY, "unknownkey"):
            assert key not in printed


class TestOutdatedRoutes:
    """Refusals that callers take as final, while the routes may be old."""

    async def test_unknown_route_is_no_404(self):
        """Guards against a final refusal of a route that was just added."""
        harness = Harness(with_workspaces=False)
        assert (await harness.send("new", None)).status == 404
        harness.lease.current = False
        response = await harness.send("new", None)
        assert response.status == 503
        assert float(header_of(response, "Retry-After")) > 0

    async def test_unknown_key_is_no_401(self):
        """Guards against a final refusal of a key that was just added."""
        harness = Harness()
        harness.lease.current = False
        response = await harness.send(key="unknown")
        assert response.status == 503
        assert float(header_of(response, "Retry-After")) > 0
        assert (await harness.send()).status == 200


class TestQuota:
    """What the quota of a workspace allows."""

    async def test_request_over_the_quota_gets_429(self):
        harness = Harness()
        harness.quotas.decision = DENIED
        response = await harness.send()
        assert response.status == 429
        assert header_of(response, "Retry-After") == "0.700"
        assert not harness.dispatcher.requests

    async def test_unknown_quota_is_no_429(self):
        """A caller below its quota takes the refusal for its own fault."""
        harness = Harness()
        harness.quotas.decision = UNKNOWN
        response = await harness.send()
        assert response.status == 503
        assert header_of(response, "Retry-After") == "0.500"

    async def test_workspace_without_quota_is_not_asked_about(self):
        harness = Harness()
        harness.quotas.decision = DENIED
        assert (await harness.send(key=OTHER_KEY)).status == 200
        assert not harness.quotas.asked

    async def test_wait_leaves_time_for_the_request(self):
        harness = Harness()
        await harness.send()
        [(_, max_wait)] = harness.quotas.asked
        assert 0 < max_wait < 0.8

    @pytest.mark.parametrize(
        ("reply", "returned"),
        [
            (calls.not_run_reply(messages.Reason.OVERLOADED), True),
            (calls.not_run_reply(messages.Reason.BACKEND_SHED), True),
            (calls.unknown_reply(messages.Reason.CONNECTION_BROKEN), False),
            (messages.Reply(status=500), False),
            (messages.Reply(status=200), False),
        ],
    )
    async def test_token_goes_back_only_if_nothing_ran(self, reply, returned):
        """A refused workspace loses its quota, or one that ran gains some."""
        harness = Harness()
        harness.dispatcher.reply = reply
        await harness.send()
        assert harness.quotas.given_back == (
            [("limited", ALLOWED)] if returned else []
        )

    async def test_time_spent_on_the_quota_counts(self):
        """A backend server is handed more time than the caller waits."""
        harness = Harness()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 2.0

        async def ask_slowly(workspace, max_wait, late):
            await asyncio.sleep(0.3)
            return ALLOWED

        harness.quotas.ask = ask_slowly
        await harness.send()
        assert harness.dispatcher.requests[0].deadline == deadline
