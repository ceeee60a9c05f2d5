"""Operators' configurations, from the request to every reader of them."""

import json

import hypothesis
import platformfakes
import pytest
from adapter import (
    documents,
    handlers,
    jsontext,
    jsonvalues,
    platformnames,
)
from hypothesis import strategies

from mangobay import leanhttp, routespublisher, statemachine
from mangobay.generated import messages

OTHER_FRAMES = 300
"""Frames on the stack of a process below the parsing of a configuration."""
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False)
    | strategies.text(strategies.characters(codec=None)),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)


class FakePublisher:
    """Replicates each configuration, and restores it from a snapshot."""

    def __init__(self):
        self.machine = statemachine.ConfigStateMachine()

    async def put(self, change):
        entry = messages.encode_log_entry(messages.LogEntry(body=change))
        self.machine.apply(messages.decode_log_entry(entry))
        return messages.RoutesOutcome.ACCEPTED

    async def fetch_newest(self):
        return self.machine.routes


def nested(depth):
    """Returns so many lists within each other."""
    value = 1
    for _ in range(depth):
        value = [value]
    return value


async def send(publisher, body):
    """Returns the response to a configuration."""
    request = leanhttp.Request(
        method="POST",
        target=f"{platformnames.RPC_PATH}?call=config.replace",
        headers={platformnames.BASE_VERSION_HEADER: "0"},
        raw_headers=[],
        body=body,
    )
    return await handlers.operator_api(publisher)(request, None)


def read_below(frames, stored):
    """Parses a stored configuration with so many more frames on the stack."""
    if frames:
        return read_below(frames - 1, stored)
    return documents.decode(stored)


class TestReaders:
    """What a control host accepts, every process can read."""

    @pytest.mark.parametrize("container", ["list", "object"])
    @pytest.mark.parametrize("depth", [100, 975, 100_000])
    async def test_deep_configuration_is_refused(self, depth, container):
        """Readers come to the end of their stack."""
        opening, closing = {
            "list": ("[" * depth, "]" * depth),
            "object": ('{"m":' * depth, "}" * depth),
        }[container]
        body = json.dumps(
            platformfakes.configuration(1, ["a"]) | {"unknown": "VALUE"}
        ).replace('"VALUE"', f"{opening}1{closing}")
        response = await send(FakePublisher(), body.encode())
        assert response.status == 400
        assert b"nested" in response.body

    @pytest.mark.parametrize(
        "number",
        ["1e400", "-1e400", "9" * 400, "-" + "9" * 5000, "0." + "1" * 99],
    )
    async def test_large_number_is_refused(self, number):
        """An operator gets 502 from every control host, each time."""
        body = json.dumps(
            platformfakes.configuration(1, ["a"]) | {"unknown": "VALUE"}
        ).replace('"VALUE"', number)
        assert (await send(FakePublisher(), body.encode())).status == 400

    @pytest.mark.parametrize("part", ["{}", "[]", "1", '{"a":1}'])
    def test_many_values_are_refused(self, part):
        """Guards against parsing what takes many times its bytes."""
        count = jsontext.MAX_VALUES + 1
        body = "[" + ",".join([part] * count) + "]"
        with pytest.raises(jsonvalues.FormatError, match="values"):
            jsontext.parse_json(body.encode())

    def test_large_configuration_is_parsed(self):
        row = ["name", "a.example", "/", "safe", "8s", "1s", 0, 2, "service"]
        rows = {"routes": {"rows": [row] * 25_000}}
        assert jsontext.parse_json(json.dumps(rows).encode()) == rows

    async def test_accepted_depth_is_read_with_less_stack(self):
        """A change is confirmed and in force on no node."""
        for depth in range(10, 800, 30):
            publisher = FakePublisher()
            config = platformfakes.configuration(1, ["a"])
            config["unknown"] = nested(depth)
            response = await send(publisher, json.dumps(config).encode())
            if response.status == 400:
                continue
            change = await publisher.fetch_newest()
            stored = routespublisher.decompress_document(change)
            assert read_below(OTHER_FRAMES, stored).version == 1, depth

    @hypothesis.given(
        JSON_VALUES | strategies.integers(0, 40).map(nested),
        strategies.sampled_from(["document", "route", "limits"]),
    )
    async def test_accepted_configuration_is_read_everywhere(
        self, value, place
    ):
        """A member that is not known here stops a reader."""
        config = platformfakes.configuration(1, ["a"])
        match place:
            case "document":
                config["unknown"] = value
            case "limits":
                config["limits"]["unknown"] = value
            case "route":
                config["routes"]["columns"].append("unknown")
                config["routes"]["rows"][0].append(value)
        publisher = FakePublisher()
        response = await send(publisher, json.dumps(config).encode())
        assert response.status in (200, 400)
        if response.status == 400:
            return
        snapshot = messages.encode_snapshot(publisher.machine.snapshot())
        restored = statemachine.ConfigStateMachine()
        restored.restore(messages.decode_snapshot(snapshot))
        stored = routespublisher.decompress_document(restored.routes)
        assert read_below(OTHER_FRAMES, stored).version == 1
        assert (
            documents.encode_canonical(jsontext.parse_stored(stored)) == stored
        )
        assert json.loads(handlers.operator_form(restored.routes)) == config

    @pytest.mark.parametrize("keys", [[], None])
    async def test_workspaces_without_keys_are_read_back(self, keys):
        """A configuration is not read back as it was sent."""
        workspaces = [["w", keys, 1, 1, 1]]
        config = platformfakes.configuration(1, ["a"], workspaces)
        publisher = FakePublisher()
        response = await send(publisher, json.dumps(config).encode())
        assert response.status == 200
        change = await publisher.fetch_newest()
        assert json.loads(handlers.operator_form(change)) == config


class TestTexts:
    """Texts of a configuration that become part of messages."""

    @pytest.mark.parametrize(
        ("table", "column"),
        [
            ("routes", "name"),
            ("routes", "hostname"),
            ("services", "name"),
            ("services", "health_path"),
            ("tenants", "name"),
            ("tenants", "api_keys"),
        ],
    )
    @pytest.mark.parametrize("text", ["/h\r\nX: y", "/h\n", "/\x00", "/\ud800"])
    async def test_text_that_ends_a_line_is_refused(self, table, column, text):
        """A configuration adds a header to requests, or ends one early."""
        workspaces = [["w", ["key"], 1, 1, 1]]
        config = platformfakes.configuration(1, ["a"], workspaces)
        place = config[table]["columns"].index(column)
        value = [text] if column == "api_keys" else text
        config[table]["rows"][0][place] = value
        response = await send(FakePublisher(), json.dumps(config).encode())
        assert response.status == 400

    @pytest.mark.parametrize("path", ["/a b", "h", "", "/\u00e9"])
    async def test_health_path_is_a_request_target(self, path):
        """A health check that cannot be parsed keeps a server out of use."""
        config = platformfakes.configuration(1, ["a"])
        config["services"]["rows"][0][1] = path
        response = await send(FakePublisher(), json.dumps(config).encode())
        assert response.status == 400


class TestRanges:
    """Numbers of a configuration with which no request could be served."""

    @pytest.mark.parametrize(
        ("name", "value", "status"),
        [
            ("max_header_bytes", 0, 400),
            ("max_header_bytes", -1, 400),
            ("max_body_bytes", -1, 400),
            ("max_body_bytes", 0, 200),
        ],
    )
    async def test_limits_leave_room_for_a_request(self, name, value, status):
        """No request is served until the next configuration."""
        config = platformfakes.configuration(1, ["a"])
        config["limits"][name] = value
        response = await send(FakePublisher(), json.dumps(config).encode())
        assert response.status == status

    @pytest.mark.parametrize(
        ("timeout", "status"), [("0.0001ms", 400), ("0s", 400), ("1ms", 200)]
    )
    async def test_timeout_is_not_rounded_to_nothing(self, timeout, status):
        """Requests of a route end before they are sent."""
        config = platformfakes.configuration(1, ["a"])
        place = config["routes"]["columns"].index("timeout")
        config["routes"]["rows"][0][place] = timeout
        response = await send(FakePublisher(), json.dumps(config).encode())
        assert response.status == status
