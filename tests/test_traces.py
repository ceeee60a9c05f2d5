"""Tests of spans written to a file."""

import asyncio
import json

from mangobay import calls, filetracer, httpheaders, retryallowance, traces
from mangobay.generated import messages

PROCESS = calls.Process("me", "lima", "run-1")


class TestFileTracer:
    """One line for each attempt, in the caller's trace."""

    async def test_a_span_has_ids_and_attributes(self, tmp_path):
        path = tmp_path / "spans"
        tracer = filetracer.FileTracer(str(path), PROCESS)
        trace = httpheaders.TraceContext("ab" * 16, "cd" * 8, True)
        operation = messages.Operation(service="stock", name="price")
        request = calls.Request(
            operation=operation,
            revision=1,
            target="/",
            headers=[],
            body=b"",
            caller="quotes",
            client="c",
            importance=messages.Importance.HIGH,
            depth=2,
            deadline=0,
            allowance=retryallowance.RetryAllowance(0),
            key="",
            trace=trace,
        )
        call = messages.Call(
            service="stock", operation="price", call_id="12" * 8, tries=3
        )
        reply = messages.Reply(
            outcome=messages.Outcome.NOT_RUN,
            reason=messages.Reason.OVERLOADED,
            tries_left=3,
        )
        tracer.record_attempt(
            traces.Attempt(
                request=request,
                call=call,
                member=messages.Member(host="other", data_centre="trujillo"),
                reply=reply,
                started_at=asyncio.get_running_loop().time(),
            )
        )
        tracer.close()
        (line,) = path.read_text().splitlines()
        span = json.loads(line)
        assert span["context"]["span_id"] == "0x" + "12" * 8
        assert span["context"]["trace_id"] == "0x" + "ab" * 16
        assert span["parent_id"] == "0x" + "cd" * 8
        attributes = span["attributes"]
        assert attributes["mangobay.host"] == "other"
        assert attributes["mangobay.data_centre"] == "trujillo"
        assert attributes["mangobay.outcome"] == "not_run"
        assert attributes["mangobay.tries_left"] == 3
