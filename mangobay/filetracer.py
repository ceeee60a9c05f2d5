"""Writes spans to a file with OpenTelemetry."""

import asyncio
import json
import time

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export, id_generator

from mangobay import calls, traces

NANOSECONDS_PER_SECOND = 1_000_000_000


class CallIdGenerator(id_generator.RandomIdGenerator):
    """Uses call ids as span ids, so that calls need not carry both.

    Attributes:
      next_span_id: id of the next span to be started.
    """

    next_span_id = 0

    def generate_span_id(self) -> int:
        """Returns the id of the call whose span is being started."""
        return self.next_span_id


class JsonLinesExporter(export.SpanExporter):
    """Writes spans to a file, one JSON object per line."""

    def __init__(self, path: str):
        self.file = open(path, "a", encoding="utf-8")  # noqa: SIM115

    def export(self, spans) -> export.SpanExportResult:
        """Writes the spans; called in the thread of the span processor."""
        try:
            for span in spans:
                self.file.write(json.dumps(json.loads(span.to_json())) + "\n")
            self.file.flush()
        except OSError:
            return export.SpanExportResult.FAILURE
        return export.SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Closes the file."""
        self.file.close()


class FileTracer(traces.Tracer):
    """Records spans with OpenTelemetry into a file."""

    def __init__(self, path: str, process: calls.Process):
        self.process = process
        self.id_generator = CallIdGenerator()
        resource = resources.Resource(
            {
                "service.name": "mangobay-node",
                "host.name": process.host,
                "mangobay.data_centre": process.data_centre,
            }
        )
        self.provider = sdk.TracerProvider(
            id_generator=self.id_generator,
            resource=resource,
            shutdown_on_exit=False,
        )
        exporter = JsonLinesExporter(path)
        self.provider.add_span_processor(export.BatchSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer("mangobay")

    def record_attempt(self, attempt: traces.Attempt) -> None:
        """Records one attempt that has ended."""
        call, reply = attempt.call, attempt.reply
        end_ns = time.time_ns()
        seconds = asyncio.get_running_loop().time() - attempt.started_at
        self.id_generator.next_span_id = int(call.call_id, 16)
        span = self.tracer.start_span(
            f"{call.service} {call.operation}",
            context=parent_context(attempt.request),
            kind=trace.SpanKind.CLIENT,
            attributes={
                "mangobay.service": call.service,
                "mangobay.operation": call.operation,
                "mangobay.caller": call.caller,
                "mangobay.host": attempt.member.host,
                "mangobay.data_centre": attempt.member.data_centre
                or self.process.data_centre,
                "mangobay.outcome": reply.outcome.name.lower(),
                "mangobay.reason": reply.reason.name.lower(),
                "mangobay.tries_given": call.tries,
                "mangobay.tries_left": reply.tries_left,
                "mangobay.depth": call.depth,
                "mangobay.status": reply.status,
            },
            start_time=end_ns - int(seconds * NANOSECONDS_PER_SECOND),
        )
        span.end(end_ns)

    def close(self) -> None:
        """Writes the buffered spans and closes the file."""
        self.provider.shutdown()


def parent_context(request: calls.Request):
    """Returns the context with the trace and the caller's span.

    A call without a caller's span is the root of its trace.  Since the id of a
    parent span must not be zero, it gets the id 1, which no recorded span has.
    """
    parent_id = int(request.trace.parent_span or "1", 16)
    span_context = trace.SpanContext(
        trace_id=int(request.trace.trace_id, 16),
        span_id=parent_id,
        is_remote=True,
        trace_flags=trace.TraceFlags(trace.TraceFlags.SAMPLED),
    )
    return trace.set_span_in_context(trace.NonRecordingSpan(span_context))
