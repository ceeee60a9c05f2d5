"""The platform adapter: its formats, and that only it knows them."""

import asyncio
import dataclasses
import json
import pathlib
import platform as standard_platform
import re

import hypothesis
import pytest
from adapter import documents, handlers, jsonvalues, liveness, platformnames
from hypothesis import strategies

from mangobay import (
    heartbeats,
    leanhttp,
    localservices,
    options,
    renewals,
    routes,
    routespublisher,
    statemachine,
)
from mangobay.generated import messages

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_TERMS = re.compile(
    r"x-mangobay-|/-/|traffic_split|path_prefix|route_type|cold_remaining"
    r"|api_keys|rate_per_s|tenant(?!ed)"
    r"|instances\.|config\.replace|config\.describe",
    re.IGNORECASE,
)


def configuration(**changes):
    """Returns a configuration in the platform's format."""
    columns = [
        "name",
        "hostname",
        "path_prefix",
        "route_type",
        "timeout",
        "target_latency",
        "priority",
        "traffic_split",
        "max_attempts",
        "service",
    ]
    split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
    rows = [
        ["r1", "H.example", "/x/", "safe", "1000ms", "1.5s", 2, split, 2, None],
        ["r2", "h.example", "/x/y/", "unsafe", "2s", "2s", 0, None, 2, "b"],
    ]
    config = {
        "version": "r7",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [["a", "/healthz", 10], ["b", "/healthz", 10]],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    config.update(changes)
    return config


def configuration_with_cell(column, value):
    """Returns a configuration with another cell in its first route."""
    config = configuration()
    table = config["routes"]
    table["rows"][0][table["columns"].index(column)] = value
    return config


class TestDocuments:
    """Parsing and checking of configurations."""

    def test_valid_configuration(self):
        document = documents.decode(json.dumps(configuration()).encode())
        first, second = document.routes
        assert document.version == 7
        assert first.hostname == "h.example"
        assert first.retry_safety is routes.RetrySafety.SAFE
        assert (first.timeout, first.target_latency) == (1.0, 1.5)
        assert [
            (part.service, part.weight) for part in first.weighted_services
        ] == [
            ("a", 90),
            ("b", 10),
        ]
        assert [part.service for part in second.weighted_services] == ["b"]
        assert routes.validate(document) == []

    def test_upload_routes_are_unsafe(self):
        document = documents.parse_document(
            configuration_with_cell("route_type", "upload")
        )
        assert document.routes[0].retry_safety is routes.RetrySafety.UNSAFE

    def test_download_routes_are_safe(self):
        """A configuration with large responses is refused as a whole."""
        document = documents.parse_document(
            configuration_with_cell("route_type", "download")
        )
        route = document.routes[0]
        assert route.retry_safety is routes.RetrySafety.SAFE
        assert route.large_responses
        operation = routes.RouteState(route).next_operation("GET")
        assert operation.large_responses
        whole = routes.without_large_responses(document)
        assert not whole.routes[0].large_responses

    @pytest.mark.parametrize(
        ("broken", "where"),
        [
            ({"version": "7"}, "version"),
            ({"version": 7}, "version"),
            ({"version": "r٧"}, "version"),
            ({"limits": {}}, "limits.max_header_bytes"),
            ({"routes": {"columns": ["name"], "rows": [[]]}}, "routes[0]"),
            ({"services": []}, "services"),
        ],
    )
    def test_error_names_the_invalid_place(self, broken, where):
        with pytest.raises(jsonvalues.FormatError, match=re.escape(where)):
            documents.parse_document(configuration(**broken))

    def test_truncated_json_is_an_error(self):
        data = json.dumps(configuration()).encode()
        with pytest.raises(jsonvalues.FormatError, match="not JSON"):
            documents.decode(data[:-9])

    @pytest.mark.parametrize(
        "data",
        [
            json.dumps(configuration()).replace("90", "NaN").encode(),
            json.dumps(configuration()).replace("90", "1e999").encode(),
            json.dumps(configuration()).encode("utf-16"),
            b"[" * 100_000,
        ],
        ids=["NaN", "infinity", "UTF-16", "deep"],
    )
    async def test_what_is_no_json_is_refused_by_operators_api(self, data):
        """A configuration that cannot be read gets no 4xx, or is accepted."""
        handle = handlers.operator_api(FakePublisher())
        request = rpc_request("config.replace", "", data)
        request.headers = {platformnames.BASE_VERSION_HEADER: "0"}
        assert (await handle(request, None)).status == 400

    @pytest.mark.parametrize(
        ("column", "value"),
        [("max_attempts", 10**6), ("target_latency", "9" * 400 + "s")],
    )
    def test_large_values_fit_into_a_message(self, column, value):
        """No request of a route with very large values is sent on."""
        document = documents.parse_document(
            configuration_with_cell(column, value)
        )
        table = routes.RouteTable(document)
        operation = table.find("h.example", "/x/").next_operation("GET")
        call = messages.Call(
            tries=operation.tries, patience_ms=operation.target_ms
        )
        messages.encode_envelope(messages.Envelope(body=call))

    @pytest.mark.parametrize(
        ("column", "value"),
        [
            ("timeout", "١٠s"),
            ("route_type", "odd"),
            ("route_type", ["safe"]),
            ("timeout", 1000),
            ("timeout", None),
            ("max_attempts", True),
            ("traffic_split", [{"service": "a"}]),
        ],
    )
    def test_unreadable_cell_error_names_the_route(self, column, value):
        with pytest.raises(jsonvalues.FormatError, match=r"routes\[0\]"):
            documents.parse_document(configuration_with_cell(column, value))

    @pytest.mark.parametrize(
        ("column", "value"),
        [
            ("timeout", "0ms"),
            ("timeout", "601s"),
            ("max_attempts", 0),
            ("traffic_split", [{"service": "a", "weight": -1}]),
            ("traffic_split", [{"service": "gone", "weight": 1}]),
        ],
    )
    def test_value_out_of_range_is_a_finding(self, column, value):
        document = documents.parse_document(
            configuration_with_cell(column, value)
        )
        assert len(routes.validate(document)) == 1

    def test_member_order_does_not_change_the_canonical_form(self):
        reordered = dict(reversed(configuration().items()))
        assert documents.encode_canonical(
            reordered
        ) == documents.encode_canonical(configuration())


KEYS = ("kmgjqnirth5mgjy5rcpi", "hhacruddedev3nax7u27", "q2wsx4edc6rfv8tgb")


def workspaces_table(*rows):
    """Returns the member of a configuration that lists workspaces."""
    columns = ["name", "api_keys", "priority", "rate_per_s", "burst"]
    return {"columns": columns, "rows": list(rows)}


def secured_configuration(*rows):
    """Returns a configuration with workspaces."""
    default = (
        ["w1", [KEYS[0], KEYS[1]], 1, 12.5, 20],
        ["w2", [KEYS[2]], None, 0, None],
        ["w3", [], 0, None, None],
    )
    return configuration(tenants=workspaces_table(*(rows or default)))


class TestWorkspaces:
    """Workspaces in configurations, and where their keys go."""

    def test_workspaces_are_parsed(self):
        document = documents.parse_document(secured_configuration())
        first, second, third = document.workspaces
        assert (first.name, first.priority) == ("w1", 1)
        assert (first.rate, first.burst) == (12.5, 20.0)
        assert len(first.key_digests) == 2
        assert (second.priority, second.rate, second.burst) == (None, 0, 0)
        assert third.key_digests == ()
        assert routes.validate(document) == []
        assert [each.workspace for each in documents.quotas(document)] == ["w1"]

    def test_without_the_member_requests_need_no_key(self):
        document = documents.parse_document(configuration())
        assert document.workspaces is None

    def test_empty_table_lets_nobody_in(self):
        config = configuration(tenants=workspaces_table())
        assert documents.parse_document(config).workspaces == ()

    def test_stored_form_has_no_key_and_reads_the_same(self):
        config = secured_configuration()
        stored, keys = documents.separate_keys(config)
        data = documents.encode_canonical(stored)
        assert not any(key.encode() in data for key in KEYS)
        assert documents.decode(data) == documents.parse_document(config)
        assert documents.merge_keys(json.loads(data), keys) == config

    def test_configuration_without_keys_is_stored_as_it_is(self):
        assert documents.separate_keys(configuration()) == (
            configuration(),
            {},
        )

    @pytest.mark.parametrize(
        "row",
        [
            [None, [KEYS[0]], 1, 1, 1],
            [[KEYS[0]], "w1", 1, 1, 1],
            ["w1", KEYS[0], 1, 1, 1],
            ["w1", [KEYS[0], 7], 1, 1, 1],
            ["w1", [KEYS[0], ""], 1, 1, 1],
            ["w1", [], KEYS[0], 1, 1],
            ["w1", [], 1, KEYS[0], 1],
            ["w1", [], 1, 1, KEYS[0]],
            ["w1", [], True, 1, 1],
            ["w1", [], 1, float("inf"), 1],
            ["w1", [KEYS[0]], 1],
        ],
    )
    def test_error_names_the_row_and_no_key(self, row):
        config = secured_configuration(["w0", [], 1, 1, 1], row)
        with pytest.raises(jsonvalues.FormatError) as caught:
            documents.parse_document(config)
        assert "tenants[1]" in str(caught.value)
        assert not any(key in str(caught.value) for key in KEYS)

    def test_column_that_stands_twice_is_an_error(self):
        """The keys of the second one stay in the stored form."""
        config = secured_configuration(["w1", [KEYS[0]], [KEYS[1]], 1, 1])
        config["tenants"]["columns"][2] = "api_keys"
        with pytest.raises(jsonvalues.FormatError, match="twice"):
            documents.parse_document(config)

    def test_column_of_the_stored_form_is_an_error(self):
        config = secured_configuration(["w1", ["x"], 1, 1, 1])
        config["tenants"]["columns"][1] = documents.DIGESTS_COLUMN
        with pytest.raises(jsonvalues.FormatError, match="unknown column"):
            documents.parse_document(config)

    @pytest.mark.parametrize(
        ("rows", "text"),
        [
            (
                (["w1", [KEYS[0]], 1, 1, 1], ["w2", [KEYS[0]], 1, 1, 1]),
                "workspace w2: shares a key with w1",
            ),
            ((["w1", [], 1, -1, 1],), "workspace w1: the rate is below 0"),
            ((["w1", [], 1, 1, -1],), "workspace w1: the burst is below 0"),
            (
                (["w1", [], 1, 1, 1], ["w1", [], 1, 1, 1]),
                "workspace w1: the name is used twice",
            ),
        ],
    )
    def test_invalid_workspaces_are_findings(self, rows, text):
        document = documents.parse_document(secured_configuration(*rows))
        assert [str(each) for each in routes.validate(document)] == [text]


class FakePublisher:
    """Accepts every routes document and keeps it."""

    change = None

    async def put(self, change):
        self.change = change
        return messages.RoutesOutcome.ACCEPTED

    async def fetch_newest(self):
        return self.change


class TestOperators:
    """What operators send is stored, and read back unchanged."""

    def setup_method(self):
        self.publisher = FakePublisher()
        self.handle = handlers.operator_api(self.publisher)

    async def call(self, name, config=None):
        request = rpc_request(name, "", config or {})
        request.headers = {platformnames.BASE_VERSION_HEADER: "0"}
        return await self.handle(request, None)

    @pytest.mark.parametrize(
        "config", [configuration(), secured_configuration()]
    )
    async def test_configuration_is_read_back_as_it_was_sent(self, config):
        assert (await self.call("config.replace", config)).status == 200
        response = await self.call("config.describe")
        assert json.loads(response.body) == config

    async def test_nodes_get_no_key(self):
        await self.call("config.replace", secured_configuration())
        change = self.publisher.change
        machine = statemachine.ConfigStateMachine()
        machine.routes = change
        sent = renewals.newer_routes(machine, messages.LeaseRenew())
        assert sent.version == change.version
        assert not sent.credentials
        document = routespublisher.decompress_document(sent)
        assert not any(key.encode() in document for key in KEYS)

    async def test_log_and_response_of_a_refused_one_have_no_key(self, capsys):
        config = secured_configuration(
            ["w1", [KEYS[0]], 1, 1, 1], ["w2", [KEYS[0]], 1, 1, 1]
        )
        response = await self.call("config.replace", config)
        assert response.status == 400
        assert b"workspace w2: shares a key with w1" in response.body
        printed = capsys.readouterr()
        assert KEYS[0] not in printed.out + printed.err
        assert KEYS[0].encode() not in response.body


class TestImportance:
    """Importance by the priorities of workspace and route."""

    def ranking_of(self, *priorities):
        rows = [
            [f"w{index}", [], priority, 1, 1]
            for index, priority in enumerate(priorities)
        ]
        document = documents.parse_document(secured_configuration(*rows))
        ranking = routes.ImportanceRanking(document)
        return [
            [ranking.find(workspace, route) for route in document.routes]
            for workspace in document.workspaces
        ]

    def test_workspace_takes_precedence_and_route_decides_the_rest(self):
        (second, first), (fourth, third) = self.ranking_of(0, 1)
        assert first >= second >= third >= fourth
        assert first > third
        assert third > fourth

    def test_workspaces_of_one_priority_are_told_apart_by_route(self):
        """Overload refuses bookings as often as lookups."""
        [(lookup, booking)] = self.ranking_of(1)
        assert booking > lookup

    def test_workspace_without_priority_leaves_it_to_the_route(self):
        [(lookup, booking)] = self.ranking_of(None)
        assert lookup is messages.Importance.NORMAL
        assert booking is messages.Importance.CRITICAL


ADDRESS = "10.0.0.1:80"
INFO = {"service": "a", "version": "v1", "zone": "z", "slots": 8}
STATUS = {"state": "ready", "sequence": 4, "cold_remaining": "0ms"}
ODD_SLOTS = (-1, 0, 2**32, 2**70, 10**400, True, "8", None)
ODD_VALUES = strategies.one_of(
    strategies.none(),
    strategies.booleans(),
    strategies.integers(),
    strategies.integers(min_value=-(2**80), max_value=2**80),
    strategies.floats(),
    strategies.text(strategies.characters(codec=None), max_size=5),
    strategies.lists(strategies.integers(), max_size=2),
)


def heartbeat(**changes):
    """Returns a heartbeat request."""
    body = {"address": ADDRESS, "born": 5, "info": INFO, "status": STATUS}
    body.update(changes)
    return rpc_request("instances.heartbeat", "i-1", body)


def rpc_request(call, subject, body):
    """Returns a request for an RPC of the platform."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return leanhttp.Request(
        method="POST",
        target=f"{platformnames.RPC_PATH}?call={call}&of={subject}",
        headers={},
        raw_headers=[],
        body=data,
    )


class FakeLocalServices:
    """Records the current announcement."""

    def __init__(self):
        self.announcement = None

    def announce(self, announcement):
        self.announcement = announcement

    def withdraw(self, service, planned=True):
        withdrawn, self.announcement = self.announcement, None
        return withdrawn is not None

    def retire(self, service, incarnation):
        return self.withdraw(service)


class TestRoutes:
    """Matching of requests with routes."""

    def setup_method(self):
        self.table = routes.RouteTable(
            documents.parse_document(configuration())
        )

    def test_longest_prefix_wins(self):
        assert self.table.find("h.example", "/x/z").route.name == "r1"
        assert self.table.find("H.example:80", "/x/y/z").route.name == "r2"
        assert self.table.find("h.example", "/x") is None
        assert self.table.find("other", "/x/") is None

    def test_requests_are_split_by_weight(self):
        destination = self.table.find("h.example", "/x/")
        services = [
            destination.next_operation("GET").service for _ in range(100)
        ]
        assert services.count("a") == 90
        assert max(len(run) for run in "".join(services).split("b")) <= 10

    def test_repeated_request_has_spent_time(self):
        destination = self.table.find("h.example", "/x/")
        assert not destination.has_waited_before(6.0)
        assert destination.has_waited_before(5.2)
        assert not destination.has_waited_before(5.99)


class TestHeartbeats:
    """Heartbeats of current, former and foreign backend servers."""

    def setup_method(self):
        self.local_services = FakeLocalServices()
        address = options.Address("10.0.0.1", 80)
        self.receiver = heartbeats.HeartbeatReceiver(
            self.local_services, "a", address
        )
        self.handle = handlers.heartbeat_api(self.receiver)

    async def send(self, call):
        return (await self.handle(call, None)).status

    async def test_draining_withdraws_the_announcement(self):
        assert await self.send(heartbeat()) == 200
        assert self.local_services.announcement.instance == "i-1"
        status = {"state": "draining", "sequence": 5, "cold_remaining": "0ms"}
        assert await self.send(heartbeat(status=status)) == 200
        assert self.local_services.announcement is None

    @pytest.mark.parametrize(
        "broken",
        [
            {"info": None},
            {"status": {"state": "asleep", "sequence": 9}},
            {"status": {"state": "ready", "sequence": "9"}},
            {"born": 1.5},
            {"born": -1},
            {"info": {"service": "other", "slots": 8}},
            *({"info": INFO | {"slots": slots}} for slots in ODD_SLOTS),
            {"info": INFO | {"service": "b"}},
            {"info": INFO | {"version": ["v1"]}},
            {"info": INFO | {"zone": 7}},
            {"info": INFO | {"zone": "\ud800"}},
            {"info": {name: INFO[name] for name in ("service", "slots")}},
            {"status": {"state": "ready", "sequence": 9}},
            {"address": None},
            {"address": 7},
            {"address": "10.0.0.2:80"},
        ],
    )
    async def test_invalid_heartbeat_changes_nothing(self, broken):
        """A report of another writer is applied in part, or outdates others."""
        broken = {"status": STATUS | {"sequence": 9}} | broken
        assert await self.send(heartbeat()) == 200
        before = dataclasses.replace(self.receiver.current)
        assert await self.send(heartbeat(**broken)) == 400
        assert self.receiver.current == before
        assert self.local_services.announcement.instance == "i-1"

    @pytest.mark.parametrize("sequence", [6, 2**62])
    async def test_draining_is_final(self, sequence):
        """A later report of another writer puts a draining server back."""
        await self.send(heartbeat())
        await self.send(
            heartbeat(status=STATUS | {"state": "draining", "sequence": 5})
        )
        await self.send(heartbeat(status=STATUS | {"sequence": sequence}))
        assert self.local_services.announcement is None

    @hypothesis.given(strategies.data())
    async def test_accepted_heartbeat_can_be_encoded(self, data):
        """A value that cannot be encoded ends the renewal of the lease."""
        value = data.draw(ODD_VALUES)
        part = data.draw(strategies.sampled_from(["info", "status", "body"]))
        body = {"info": dict(INFO), "status": dict(STATUS), "address": ADDRESS}
        fields = body if part == "body" else body[part]
        fields[data.draw(strategies.sampled_from(sorted(fields)))] = value
        request = rpc_request("instances.heartbeat", "i-1", body)
        try:
            parsed = liveness.parse_heartbeat(request, "i-1")
        except jsonvalues.FormatError:
            return
        served = messages.ServedService(name=parsed.service, slots=parsed.slots)
        renewal = messages.LeaseRenew(serves=[served])
        messages.encode_envelope(messages.Envelope(body=renewal))

    async def test_undecodable_body_is_rejected(self):
        call = rpc_request("instances.heartbeat", "i-1", b"\xff{")
        assert await self.send(call) == 400

    async def test_stale_heartbeat_is_neither_used_nor_confirmed(self):
        """A draining backend server still gets requests.

        A heartbeat from before it drained was delayed and arrives after the
        one that reports draining.
        """
        await self.send(heartbeat())
        status = {"state": "draining", "sequence": 5, "cold_remaining": "0ms"}
        await self.send(heartbeat(status=status))
        assert await self.send(heartbeat()) == 409
        assert self.local_services.announcement is None

    async def test_heartbeat_of_a_former_incarnation_is_ignored(self):
        """Requests are sent to a backend server that crashed.

        Its heartbeat is delayed by a network failure.  The server crashes,
        another one starts at the address, and then the old heartbeat arrives.
        """
        old_heartbeat = heartbeat(born=5)
        await self.send(heartbeat(born=9))
        assert await self.send(old_heartbeat) == 409
        assert self.receiver.current.last_heartbeat.start_unix_ms == 9

    async def test_deregistered_incarnation_stays_withdrawn(self):
        await self.send(heartbeat())
        deregistration = rpc_request("instances.deregister", "i-1", b"")
        assert await self.send(deregistration) == 200
        status = {"state": "ready", "sequence": 8, "cold_remaining": "0ms"}
        await self.send(heartbeat(status=status))
        assert self.local_services.announcement is None
        await self.send(heartbeat(born=6))
        assert self.local_services.announcement is not None

    @pytest.mark.parametrize("body", [b"", b'{"born": 5}'])
    async def test_deregistration_comes_before_the_first_heartbeat(self, body):
        """A confirmed deregistration is forgotten by a restarted node."""
        deregistration = rpc_request("instances.deregister", "i-1", body)
        assert await self.send(deregistration) == 200
        assert await self.send(heartbeat()) == 409
        assert self.local_services.announcement is None

    async def test_deregistration_overtakes_the_heartbeat_of_a_new_start(self):
        """A late heartbeat of a later incarnation puts it back in use."""
        await self.send(heartbeat())
        deregistration = rpc_request(
            "instances.deregister", "i-1", b'{"born": 6}'
        )
        assert await self.send(deregistration) == 200
        await self.send(heartbeat(born=6))
        assert self.local_services.announcement is None

    async def test_another_server_may_come_after_a_deregistration(self):
        """A deregistration keeps every later server from being used."""
        deregistration = rpc_request("instances.deregister", "i-0", b"")
        await self.send(deregistration)
        await self.send(heartbeat())
        assert self.local_services.announcement is not None

    async def test_number_of_deregistrations_is_bounded(self):
        """Deregistrations of unknown servers fill the memory."""
        for number in range(2 * heartbeats.MAX_DEREGISTRATIONS):
            await self.send(
                rpc_request("instances.deregister", f"i-{number}", b"")
            )
        kept = len(self.receiver.deregistrations)
        assert kept == heartbeats.MAX_DEREGISTRATIONS

    async def test_retired_incarnation_stays_withdrawn(self):
        """A late heartbeat puts a backend server that is leaving back in use."""
        await self.send(heartbeat())
        self.receiver.retire(self.local_services.announcement)
        assert self.local_services.announcement is None
        status = {"state": "ready", "sequence": 8, "cold_remaining": "0ms"}
        await self.send(heartbeat(status=status))
        assert self.local_services.announcement is None

    async def test_successor_with_the_same_id_is_used(self):
        """A successor is taken for the server that left, and gets nothing."""
        await self.send(heartbeat())
        former = self.local_services.announcement
        self.receiver.retire(former)
        await self.send(heartbeat(born=6))
        self.receiver.retire(former)
        assert self.local_services.announcement is not None


INTERVAL = 1.5
"""Seconds between two heartbeats of a backend server."""


@pytest.mark.looptime
class TestOutrankedHeartbeats:
    """One heartbeat that outranks those that a live server goes on sending."""

    def setup_method(self):
        TestHeartbeats.setup_method(self)

    async def send(self, sequence=4, state="ready", **changes):
        status = STATUS | {"sequence": sequence, "state": state}
        return (
            await self.handle(heartbeat(status=status, **changes), None)
        ).status

    async def go_on(self, seconds, **changes):
        """Returns the statuses of a server's heartbeats for some seconds."""
        statuses = []
        for sequence in range(10, 10 + int(seconds / INTERVAL)):
            statuses.append(await self.send(sequence, **changes))
            await asyncio.sleep(INTERVAL)
        return statuses

    @pytest.mark.parametrize(
        "odd",
        [
            {"born": 2**53 - 1},
            {"born": 86_400_000},
            {"sequence": 2**53 - 1},
            {"sequence": 1004},
            {"sequence": 1004, "born": 86_400_000, "state": "ready"},
        ],
    )
    async def test_live_server_is_used_again(self, odd):
        """A live server is confirmed and refused for good."""
        await self.send()
        assert await self.send(**({"sequence": 5} | odd)) == 200
        statuses = await self.go_on(9.0)
        assert statuses == [409, 409, 409, 200, 200, 200]
        incarnation = self.local_services.announcement.incarnation
        assert incarnation == "i-1/5"

    async def test_start_by_a_clock_that_was_set_back_is_used(self):
        """A server is refused since an earlier start names a later time."""
        await self.send(born=86_400_000)
        await self.send(5, "draining", born=86_400_000)
        await self.go_on(heartbeats.LEFT_SECONDS + 3 * INTERVAL, born=7)
        assert self.local_services.announcement.incarnation == "i-1/7"

    async def test_delayed_heartbeats_put_no_former_server_back(self):
        """Heartbeats that a partition held back outrank a live server."""
        for sequence in range(4, 12):
            assert await self.send(sequence, born=9) == 200
            assert await self.send(sequence, born=5) == 409
            await asyncio.sleep(INTERVAL)
        assert self.local_services.announcement.incarnation == "i-1/9"

    async def test_confirmed_draining_server_stays_out(self):
        """Delayed heartbeats put a server back that is draining."""
        await self.send(born=9)
        assert await self.send(5, "draining", born=9) == 200
        statuses = await self.go_on(12.0, born=5)
        assert set(statuses) == {409}
        assert await self.send(900, born=9) == 409
        assert self.local_services.announcement is None

    async def test_former_server_that_was_draining_stays_out(self):
        """It is put back once its successor is silent."""
        await self.send(born=5)
        await self.send(5, "draining", born=5)
        await self.send(born=9)
        assert set(await self.go_on(12.0, born=5)) == {409}
        assert self.local_services.announcement.incarnation == "i-1/9"

    async def test_outranked_draining_is_not_confirmed_while_in_use(self):
        """A confirmed draining server goes on getting requests."""
        await self.send()
        await self.send(born=86_400_000)
        for sequence in range(10, 20):
            status = await self.send(sequence, "draining")
            in_use = self.local_services.announcement is not None
            assert (status == 200) is not in_use
            await asyncio.sleep(INTERVAL)
        assert not in_use

    async def test_late_draining_of_the_same_incarnation_counts(self):
        """A sequence of another writer keeps a draining server in use."""
        await self.send()
        await self.send(1004)
        assert await self.send(5, "draining") == 200
        assert self.local_services.announcement is None

    async def test_live_server_whose_heartbeats_come_twice_is_used_again(self):
        """A live server that sends each heartbeat again is refused for good."""
        await self.send()
        await self.send(1004)
        for sequence in range(10, 16):
            status = await self.send(sequence)
            await asyncio.sleep(0.2)
            await self.send(sequence)
            await asyncio.sleep(INTERVAL - 0.2)
        assert status == 200

    async def test_live_server_is_used_again_beside_a_former_one(self):
        """Heartbeats of a third start keep a live server out for good."""
        await self.send(born=7)
        await self.send(born=86_400_000)
        for sequence in range(10, 16):
            await self.send(sequence, born=5)
            status = await self.send(sequence, born=7)
            await asyncio.sleep(INTERVAL)
        assert status == 200
        incarnation = self.local_services.announcement.incarnation
        assert incarnation == "i-1/7"

    async def test_retired_server_stays_out_when_outranked_meanwhile(self):
        """A server that leaves is used again as it was outranked then."""
        await self.send()
        retired = self.local_services.announcement
        await self.send(born=86_400_000)
        self.receiver.retire(retired)
        assert set(await self.go_on(12.0)) == {409}

    async def deregister(self, start):
        body = json.dumps({"born": start}).encode()
        request = rpc_request("instances.deregister", "i-1", body)
        return (await self.handle(request, None)).status

    async def test_outranked_deregistration_is_not_confirmed_while_in_use(
        self,
    ):
        """A server that was confirmed as gone goes on getting requests."""
        await self.send()
        await self.send(born=86_400_000)
        await self.send(5)
        status = await self.deregister(5)
        in_use = self.local_services.announcement is not None
        assert (status == 200) is not in_use

    async def test_deregistered_server_stays_out_beside_a_later_start(self):
        """A deregistration of another writer replaces that of the server."""
        await self.deregister(86_400_000)
        assert await self.deregister(5) == 200
        await asyncio.sleep(heartbeats.LEFT_SECONDS + 1)
        assert set(await self.go_on(9.0)) == {409}

    async def test_live_server_outlasts_a_deregistration_of_a_later_start(
        self,
    ):
        """A deregistration of another writer ends a live server for good."""
        await self.send()
        assert await self.deregister(86_400_000) == 200
        assert self.local_services.announcement is None
        await self.go_on(heartbeats.LEFT_SECONDS + 3 * INTERVAL)
        assert self.local_services.announcement.incarnation == "i-1/5"
        assert await self.send(1, born=86_400_000) == 409

    async def test_many_drained_starts_put_no_server_back(self):
        """Heartbeats of another writer make a confirmed draining forgotten."""
        await self.send(born=1000)
        assert await self.send(5, "draining", born=1000) == 200
        for start in range(heartbeats.MAX_LEFT_INCARNATIONS):
            assert await self.send(5, "draining", born=start) == 409
        assert await self.send(900, born=1000) == 409
        assert self.local_services.announcement is None

    async def test_unused_heartbeats_are_counted_and_some_are_logged(
        self, monkeypatch
    ):
        """A server is refused and nobody is told, or the log fills up."""
        events = []
        monkeypatch.setattr(
            heartbeats.logs,
            "log_event",
            lambda component, event, **facts: events.append(event),
        )
        await self.send(born=86_400_000)
        for _ in range(10):
            await self.send()
            await asyncio.sleep(0.2)
        assert events.count("heartbeat not used") == 2
        assert self.receiver.unused_count == 10

    async def test_id_that_ends_a_line_is_refused(self):
        """A heartbeat adds a header to requests."""
        request = rpc_request("instances.heartbeat", "i%0d%0aX:%20y", b"{}")
        body = {"address": ADDRESS, "born": 5, "info": INFO, "status": STATUS}
        request.body = json.dumps(body).encode()
        assert (await self.handle(request, None)).status == 400


STARTS = (5, 7, 9)
EVENTS = strategies.tuples(
    strategies.sampled_from(["ready", "draining", "deregister", "retire"]),
    strategies.sampled_from(STARTS),
    strategies.integers(0, 30),
    strategies.sampled_from([0.0, 0.5, 1.5, 4.0, 61.0]),
)


def heartbeat_of(start, sequence, state=heartbeats.State.READY):
    return heartbeats.Heartbeat(
        instance="i-1",
        address=options.Address("10.0.0.1", 80),
        start_unix_ms=start,
        sequence=sequence,
        service="a",
        slots=8,
        state=state,
    )


class RecordingAnnouncer:
    """Records which incarnation is announced."""

    def __init__(self):
        self.incarnation = None

    def announce(self, announcement):
        self.incarnation = announcement.incarnation

    def withdraw(self, service, planned=True):
        del service, planned
        was_announced = self.incarnation is not None
        self.incarnation = None
        return was_announced

    def retire(self, service, incarnation):
        del incarnation
        return self.withdraw(service)


class TestHeartbeatOrders:
    """Heartbeats and ends of three starts of a server, in any order."""

    @pytest.fixture(autouse=True)
    def clock(self, monkeypatch):
        self.now = 0.0
        monkeypatch.setattr(heartbeats.clock, "now", lambda: self.now)

    def make_receiver(self):
        self.now = 0.0
        self.announcer = RecordingAnnouncer()
        return heartbeats.HeartbeatReceiver(
            self.announcer, "a", options.Address("10.0.0.1", 80)
        )

    def apply(self, receiver, event):
        """Returns the start that has left for good by an event, or None."""
        action, start, sequence, wait = event
        self.now += wait
        accepted = heartbeats.HeartbeatResult.ACCEPTED
        match action:
            case "ready":
                receiver.receive(heartbeat_of(start, sequence))
                return None
            case "draining":
                beat = heartbeat_of(start, sequence, heartbeats.State.DRAINING)
                return start if receiver.receive(beat) is accepted else None
            case "deregister":
                result = receiver.deregister("i-1", start)
                return start if result is accepted else None
        receiver.retire(
            localservices.Announcement(
                service="a",
                address=receiver.address,
                slots=8,
                instance="i-1",
                incarnation=f"i-1/{start}",
            )
        )
        return start

    @hypothesis.given(strategies.lists(EVENTS, max_size=12))
    def test_server_that_has_left_is_not_used_again(self, events):
        """A server that was confirmed as draining or gone gets requests."""
        receiver = self.make_receiver()
        left = set()
        for event in events:
            before = self.announcer.incarnation
            start = self.apply(receiver, event)
            if start is not None:
                left.add(f"i-1/{start}")
                if event[0] != "retire":
                    assert self.announcer.incarnation is None
            elif event[0] != "ready":
                assert self.announcer.incarnation in (before, None)
            assert self.announcer.incarnation not in left

    @hypothesis.given(
        strategies.lists(EVENTS, max_size=12),
        strategies.booleans(),
        strategies.sampled_from([3, 8, 10]),
    )
    def test_live_server_is_used_again(self, events, has_left, start):
        """A live server is refused for longer than others can explain."""
        receiver = self.make_receiver()
        receiver.receive(heartbeat_of(start, 0))
        for event in events:
            if event[0] == "ready" or has_left:
                self.apply(receiver, event)
        began = self.now
        limit = (
            heartbeats.LEFT_SECONDS
            if has_left
            else heartbeats.OUTRANKED_SECONDS
        )
        sequence = 0
        while self.now < began + limit + 2 * INTERVAL:
            sequence += 1
            receiver.receive(heartbeat_of(start, sequence))
            receiver.receive(heartbeat_of(start, sequence))
            self.now += INTERVAL
        assert self.announcer.incarnation == f"i-1/{start}"


class TestBoundary:
    """Platform-specific code stays in the adapter package."""

    def test_platform_terms_stay_in_the_adapter(self):
        found = {
            path.name: PLATFORM_TERMS.findall(path.read_text())
            for folder in ("mangobay", "bench/soak")
            for path in ROOT.glob(f"{folder}/**/*.py")
        }
        assert {name: hits for name, hits in found.items() if hits} == {}

    def test_standard_platform_module_is_found(self):
        assert standard_platform.python_version()
        assert handlers.__name__ == "adapter.handlers"
