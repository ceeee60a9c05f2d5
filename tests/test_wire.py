"""Frames on a stream."""

import zlib

import pytest

from mangobay import errors, wire
from mangobay.generated import messages


def frames_of(*parts, limit=wire.FRAME_BYTES):
    """Returns frames to which the bytes have come."""
    frames = wire.Frames(limit)
    for part in parts:
        frames.feed(part)
    return frames


CALL = messages.Envelope(
    stream=9,
    body=messages.Call(
        headers=[
            messages.Header(name="x", value="a:b"),
            messages.Header(name="y", value="caf\udce9"),
        ]
    ),
)


class TestFrames:
    """What comes out of a stream."""

    def test_frames_come_out_as_they_went_in(self):
        frames = frames_of(wire.pack(CALL) + wire.pack(CALL))
        assert frames.take() == CALL
        assert frames.take() == CALL
        assert frames.take() is None
        assert not frames.partial

    def test_a_frame_in_pieces_is_taken_once_it_is_whole(self):
        frames = wire.Frames()
        data = wire.pack(CALL) * 2
        for position in range(len(data) - 1):
            frames.feed(data[position : position + 1])
            taken = frames.take()
            assert (taken == CALL) == (position == len(data) / 2 - 1)
        assert frames.partial
        frames.feed(data[-1:])
        assert frames.take() == CALL

    @pytest.mark.parametrize(
        "data",
        [
            b"\x00\x00\x00\x08rubbish!",
            b"GET / HTTP/1.1\r\n\r\n",
            wire.LENGTH.pack(0),
        ],
    )
    def test_rubbish_is_a_typed_error(self, data):
        with pytest.raises(errors.PeerProtocolError):
            frames_of(data).take()

    @pytest.mark.parametrize("data", [b"\x00\x00", wire.pack(CALL)[:-1]])
    def test_half_a_frame_is_none(self, data):
        frames = frames_of(data)
        assert frames.take() is None
        assert frames.partial

    def test_a_frame_above_the_limit_is_refused_unread(self):
        with pytest.raises(errors.PeerProtocolError, match="limit"):
            frames_of(wire.pack(CALL)[:8], limit=16).take()
        with pytest.raises(errors.FrameTooLargeError):
            wire.pack(CALL, 16)


class TestDeflated:
    """Long messages of the control group."""

    def grant(self, members):
        """Returns the envelope of a grant that tells of a large view."""
        view = messages.ServiceView(
            service="stock",
            members=[
                messages.Member(
                    host=f"node-lima-{number}",
                    incarnation=f"{number:016x}",
                    data_centre="lima",
                    peer_address=f"10.1.0.{number}:7620",
                )
                for number in range(members)
            ],
        )
        return messages.Envelope(
            stream=7, body=messages.LeaseGrant(granted=True, views=[view])
        )

    def test_a_whole_view_takes_a_fraction_of_its_bytes(self):
        """Guards against control traffic that fills ways between regions."""
        grant = self.grant(200)
        frame = wire.pack(grant)
        assert len(frame) < len(messages.encode_envelope(grant)) / 4
        assert frames_of(frame).take() == grant

    def test_short_ones_and_calls_go_as_they_are(self):
        grant = self.grant(1)
        call = messages.Envelope(body=messages.Call(body=bytes(5000)))
        for envelope in (grant, call):
            plain = messages.encode_envelope(envelope)
            assert wire.pack(envelope)[wire.LENGTH.size :] == plain

    def test_one_that_grows_above_the_limit_is_refused(self):
        """Guards against a few bytes that fill the memory of their reader."""
        frame = wire.pack(self.grant(200))
        with pytest.raises(errors.PeerProtocolError, match="not whole"):
            frames_of(frame, limit=len(frame)).take()

    @pytest.mark.parametrize("data", [b"", b"rubbish"])
    def test_rubbish_inside_is_refused(self, data):
        body = messages.Deflated(envelope=data)
        frame = wire.pack(messages.Envelope(body=body))
        with pytest.raises(errors.PeerProtocolError):
            frames_of(frame).take()

    def test_one_inside_another_is_refused(self):
        """Guards against a chain of envelopes that each grow."""
        frame = wire.pack(self.grant(200))
        inner = zlib.compress(frame[wire.LENGTH.size :])
        body = messages.Deflated(envelope=inner)
        with pytest.raises(errors.PeerProtocolError, match="twice"):
            frames_of(wire.pack(messages.Envelope(body=body))).take()
