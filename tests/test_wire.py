"""Frames on a stream."""

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
