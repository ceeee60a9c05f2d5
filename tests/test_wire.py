"""Frames on a stream."""

import asyncio

import pytest

from mangobay import errors, wire
from mangobay.generated import messages


def stream_of(data: bytes) -> asyncio.StreamReader:
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return reader


CALL = messages.Envelope(
    stream=9,
    body=messages.Call(
        headers=[
            messages.Header(name="x", value="a:b"),
            messages.Header(name="y", value="caf\udce9"),
        ]
    ),
)


class TestRead:
    """What comes out of a stream."""

    async def test_frames_come_out_as_they_went_in(self):
        reader = stream_of(wire.pack(CALL) + wire.pack(CALL))
        assert await wire.read(reader) == CALL
        assert await wire.read(reader) == CALL
        with pytest.raises(errors.PeerClosedError):
            await wire.read(reader)

    @pytest.mark.parametrize(
        "data",
        [
            b"\x00\x00",
            wire.pack(CALL)[:-1],
            b"\x00\x00\x00\x08rubbish!",
            b"GET / HTTP/1.1\r\n\r\n",
            wire.LENGTH.pack(0),
        ],
    )
    async def test_rubbish_is_a_typed_error(self, data):
        with pytest.raises(errors.PeerProtocolError):
            await wire.read(stream_of(data))

    async def test_a_frame_above_the_limit_is_refused_unread(self):
        with pytest.raises(errors.PeerProtocolError, match="limit"):
            await wire.read(stream_of(wire.pack(CALL)), 16)
        with pytest.raises(errors.FrameTooLargeError):
            wire.pack(CALL, 16)
