"""Tests of HTTP headers and trace context."""

import multidict
import pytest

from mangobay import httpheaders


class TestEndToEndHeaders:
    """Headers that are forwarded."""

    def test_reserved_and_hop_by_hop_headers_are_removed(self):
        received = multidict.CIMultiDict(
            [
                ("Accept", "*/*"),
                ("MANGOBAY-Outcome", "answered"),
                ("Connection", "close, X-Hop"),
                ("x-hop", "1"),
                ("Set-Cookie", "a"),
                ("Set-Cookie", "b"),
                ("Transfer-Encoding", "chunked"),
            ]
        )
        forwarded = [
            (header.name, header.value)
            for header in httpheaders.end_to_end_headers(received)
        ]
        assert forwarded == [
            ("Accept", "*/*"),
            ("Set-Cookie", "a"),
            ("Set-Cookie", "b"),
        ]


class TestParse:
    """Parsing of header values."""

    @pytest.mark.parametrize("text", ["0", "-1", "nan", "inf", "soon", ""])
    def test_timeout_must_be_positive_seconds(self, text):
        with pytest.raises(ValueError, match="seconds above 0"):
            httpheaders.parse_timeout(text)

    def test_key_is_unquoted_and_limited(self):
        assert httpheaders.parse_idempotency_key('"a-b"') == "a-b"
        for text in ("", '""', "x" * 256, "a\x00b"):
            with pytest.raises(ValueError, match="printable"):
                httpheaders.parse_idempotency_key(text)

    @pytest.mark.parametrize(
        "text",
        [
            "00-" + "0" * 32 + "-" + "1" * 16 + "-01",
            "ff-" + "1" * 32 + "-" + "1" * 16 + "-01",
            "00-" + "1" * 31 + "-" + "1" * 16 + "-01",
            "",
        ],
    )
    def test_malformed_traceparent_is_none(self, text):
        assert httpheaders.parse_traceparent(text) is None

    def test_traceparent_round_trip(self):
        trace = httpheaders.new_trace(1.0)
        text = trace.traceparent(httpheaders.new_call_id())
        parsed = httpheaders.parse_traceparent(text)
        assert parsed.trace_id == trace.trace_id
        assert parsed.traceparent(parsed.parent_span) == text

    def test_tracestate_keeps_other_entries(self):
        parent_id, other_entries = httpheaders.split_tracestate(
            "a=1, mangobay=77 ,b=2"
        )
        assert (parent_id, other_entries) == ("77", "a=1,b=2")
        assert (
            httpheaders.join_tracestate("8", other_entries)
            == "mangobay=8,a=1,b=2"
        )
        assert httpheaders.split_tracestate("") == ("", "")
