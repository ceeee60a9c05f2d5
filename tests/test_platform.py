"""The adapter: what it reads, and that nobody else knows its words."""

import json
import pathlib
import platform as standard_platform
import re

import pytest
from adapter import calls, documents, values, words

from mangobay import heartbeats, leanhttp, options, routes

ROOT = pathlib.Path(__file__).resolve().parent.parent
WORDS = re.compile(
    r"x-mangobay-|/-/|traffic_split|path_prefix|route_type|cold_remaining"
    r"|instances\.|config\.replace|config\.describe",
    re.IGNORECASE,
)


def document(**changes):
    """Returns a configuration as the platform writes it."""
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
    whole = {
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
    whole.update(changes)
    return whole


def with_cell(column, value):
    """Returns a configuration whose first route has another cell."""
    whole = document()
    table = whole["routes"]
    table["rows"][0][table["columns"].index(column)] = value
    return whole


class TestDocuments:
    """Configurations."""

    def test_a_whole_one(self):
        read = documents.decode(json.dumps(document()).encode())
        first, second = read.routes
        assert read.version == 7
        assert first.hostname == "h.example"
        assert first.kind is routes.Kind.SAFE
        assert (first.timeout, first.target_latency) == (1.0, 1.5)
        assert [(p.service, p.weight) for p in first.parts] == [
            ("a", 90),
            ("b", 10),
        ]
        assert [p.service for p in second.parts] == ["b"]
        assert routes.check(read) == []

    def test_uploads_may_not_be_repeated(self):
        read = documents.document_of(with_cell("route_type", "upload"))
        assert read.routes[0].kind is routes.Kind.UNSAFE

    @pytest.mark.parametrize(
        ("broken", "where"),
        [
            ({"version": "7"}, "version"),
            ({"version": 7}, "version"),
            ({"limits": {}}, "limits.max_header_bytes"),
            ({"routes": {"columns": ["name"], "rows": [[]]}}, "routes[0]"),
            ({"services": []}, "services"),
        ],
    )
    def test_a_broken_one_names_the_place(self, broken, where):
        with pytest.raises(values.FormatError, match=re.escape(where)):
            documents.document_of(document(**broken))

    def test_a_cut_one(self):
        data = json.dumps(document()).encode()
        with pytest.raises(values.FormatError, match="not JSON"):
            documents.decode(data[:-9])

    @pytest.mark.parametrize(
        ("column", "value"),
        [
            ("route_type", "odd"),
            ("route_type", ["safe"]),
            ("timeout", 1000),
            ("timeout", None),
            ("max_attempts", True),
            ("traffic_split", [{"service": "a"}]),
        ],
    )
    def test_a_cell_that_cannot_be_read(self, column, value):
        with pytest.raises(values.FormatError, match=r"routes\[0\]"):
            documents.document_of(with_cell(column, value))

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
    def test_a_value_that_is_refused(self, column, value):
        read = documents.document_of(with_cell(column, value))
        assert len(routes.check(read)) == 1

    def test_the_order_of_members_makes_no_other_document(self):
        turned = dict(reversed(document().items()))
        assert documents.canonical(turned) == documents.canonical(document())


def beat(**changes):
    """Returns a heartbeat request."""
    body = {
        "address": "10.0.0.1:80",
        "born": 5,
        "info": {"service": "a", "version": "v1", "zone": "z", "slots": 8},
        "status": {"state": "ready", "sequence": 4, "cold_remaining": "0ms"},
    }
    body.update(changes)
    return request("instances.heartbeat", "i-1", body)


def request(call, subject, body):
    """Returns a call by name."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    return leanhttp.Request(
        method="POST",
        target=f"{words.RPC_PATH}?call={call}&of={subject}",
        headers={},
        raw_headers=[],
        body=data,
    )


class FakeLocalServices:
    """Notes what is announced."""

    def __init__(self):
        self.announcement = None

    def announce(self, announcement):
        self.announcement = announcement

    def withdraw(self, service):
        was, self.announcement = self.announcement, None
        return was is not None


class TestRoutes:
    """How requests are matched with routes."""

    def setup_method(self):
        self.table = routes.Table(documents.document_of(document()))

    def test_the_longest_prefix_wins(self):
        assert self.table.find("h.example", "/x/z").route.name == "r1"
        assert self.table.find("H.example:80", "/x/y/z").route.name == "r2"
        assert self.table.find("h.example", "/x") is None
        assert self.table.find("other", "/x/") is None

    def test_parts_get_their_shares(self):
        found = self.table.find("h.example", "/x/")
        sent = [found.next_operation("GET").service for _ in range(100)]
        assert sent.count("a") == 90
        assert max(len(run) for run in "".join(sent).split("b")) <= 10

    def test_a_caller_that_comes_back_has_less_time(self):
        found = self.table.find("h.example", "/x/")
        assert not found.has_spent_time(6.0)
        assert found.has_spent_time(5.2)
        assert not found.has_spent_time(5.99)


class TestHeartbeats:
    """Heartbeats of the backend server, and of others."""

    def setup_method(self):
        self.places = FakeLocalServices()
        address = options.Address("10.0.0.1", 80)
        self.beats = heartbeats.HeartbeatReceiver(self.places, "a", address)
        self.handle = calls.heartbeat_api(self.beats)

    async def send(self, call):
        return (await self.handle(call, None)).status

    async def test_ready_draining_and_gone(self):
        assert await self.send(beat()) == 200
        assert self.places.announcement.instance == "i-1"
        status = {"state": "draining", "sequence": 5, "cold_remaining": "0ms"}
        assert await self.send(beat(status=status)) == 200
        assert self.places.announcement is None

    @pytest.mark.parametrize(
        "broken",
        [
            {"info": None},
            {"status": {"state": "asleep", "sequence": 9}},
            {"status": {"state": "ready", "sequence": "9"}},
            {"born": 1.5},
            {"info": {"service": "other", "slots": 8}},
        ],
    )
    async def test_what_is_none_changes_nothing(self, broken):
        assert await self.send(beat()) == 200
        assert await self.send(beat(**broken)) == 400
        assert self.places.announcement.instance == "i-1"

    async def test_bytes_that_cannot_be_read(self):
        call = request("instances.heartbeat", "i-1", b"\xff{")
        assert await self.send(call) == 400

    async def test_an_older_one_is_acknowledged_and_changes_nothing(self):
        """The backend server drains, and still gets requests.

        Its last heartbeat before that was held back on the way and arrives
        behind the one that says it drains.
        """
        await self.send(beat())
        status = {"state": "draining", "sequence": 5, "cold_remaining": "0ms"}
        await self.send(beat(status=status))
        assert await self.send(beat()) == 200
        assert self.places.announcement is None

    async def test_one_of_a_former_incarnation(self):
        """Requests go to a backend server that crashed.

        A cut holds its heartbeat back; it crashes, another one starts at the
        address, and then the old heartbeat arrives.
        """
        old = beat(born=5)
        await self.send(beat(born=9))
        assert await self.send(old) == 200
        assert self.beats.current.last_heartbeat.start_unix_ms == 9

    async def test_deregistered_ones_stay_out(self):
        await self.send(beat())
        gone = request("instances.deregister", "i-1", b"")
        assert await self.send(gone) == 200
        status = {"state": "ready", "sequence": 8, "cold_remaining": "0ms"}
        await self.send(beat(status=status))
        assert self.places.announcement is None
        await self.send(beat(born=6))
        assert self.places.announcement is not None


class TestBoundary:
    """What speaks to the platform stays in its folder."""

    def test_nobody_else_knows_its_words(self):
        found = {
            path.name: WORDS.findall(path.read_text())
            for folder in ("mangobay", "bench/soak")
            for path in ROOT.glob(f"{folder}/**/*.py")
        }
        assert {name: hits for name, hits in found.items() if hits} == {}

    def test_the_standard_module_of_that_name_is_found(self):
        assert standard_platform.python_version()
        assert calls.__name__ == "adapter.calls"
