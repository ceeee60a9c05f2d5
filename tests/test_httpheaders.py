"""Header fields."""

import multidict
import pytest

from mangobay import httpheaders


class TestPassedOn:
    """What a caller may say."""

    def test_what_only_the_system_may_say_is_stripped(self):
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
    """Values from outside."""

    @pytest.mark.parametrize("text", ["0", "-1", "nan", "inf", "soon", ""])
    def test_a_timeout_must_be_seconds(self, text):
        with pytest.raises(ValueError, match="seconds above 0"):
            httpheaders.parse_timeout(text)

    def test_a_key_loses_its_quotes_and_is_bounded(self):
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
    def test_a_malformed_traceparent_is_none(self, text):
        assert httpheaders.parse_traceparent(text) is None

    def test_a_traceparent_names_its_parent(self):
        trace = httpheaders.new_trace(1.0)
        text = trace.traceparent(httpheaders.new_call_id())
        parsed = httpheaders.parse_traceparent(text)
        assert parsed.trace_id == trace.trace_id
        assert parsed.traceparent(parsed.parent_span) == text

    def test_tracestate_keeps_the_entries_of_others(self):
        parent_id, other_entries = httpheaders.split_tracestate(
            "a=1, mangobay=77 ,b=2"
        )
        assert (parent_id, other_entries) == ("77", "a=1,b=2")
        assert (
            httpheaders.join_tracestate("8", other_entries)
            == "mangobay=8,a=1,b=2"
        )
        assert httpheaders.split_tracestate("") == ("", "")
