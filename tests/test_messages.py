"""Tests of the generated messages."""

from mangobay.generated import messages


class TestEnvelope:
    """The envelope in a frame."""

    def test_call_round_trips_through_the_encoding(self):
        call = messages.Call(
            service="quotes",
            headers=[messages.Header(name="accept", value="*/*")],
            importance=messages.Importance.CRITICAL,
            body=b"\x00\xff",
            tries=3,
            idempotent=True,
        )
        sent = messages.Envelope(stream=7, body=call)
        assert messages.decode_envelope(messages.encode_envelope(sent)) == sent


class TestLogEntry:
    """Entries of the control group's replicated log."""

    def test_every_log_entry_body_round_trips(self):
        bodies = (
            messages.Noop(),
            messages.SheetChange(version="1"),
            messages.MemberChange(gone=True),
            messages.DrainChange(host="a"),
            messages.VoterChange(voters=[messages.Peer(host="a")]),
        )
        for body in bodies:
            entry = messages.LogEntry(index=2, term=1, body=body)
            data = messages.encode_log_entry(entry)
            assert messages.decode_log_entry(data) == entry
