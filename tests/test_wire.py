"""Tests of the framing of peer messages."""

import zlib

import pytest

from mangobay import errors, wire
from mangobay.generated import messages


def make_decoder(*received, max_bytes=wire.DEFAULT_MAX_FRAME_BYTES):
    """Returns a decoder that has received some bytes."""
    decoder = wire.FrameDecoder(max_bytes)
    for data in received:
        decoder.feed(data)
    return decoder


CALL = messages.Envelope(
    stream=9,
    body=messages.Call(
        headers=[
            messages.Header(name="x", value="a:b"),
            messages.Header(name="y", value="caf\udce9"),
        ]
    ),
)


class TestFrameDecoder:
    """Decoding of frames."""

    def test_encoded_frames_are_decoded(self):
        decoder = make_decoder(
            wire.encode_frame(CALL) + wire.encode_frame(CALL)
        )
        assert decoder.next_envelope() == CALL
        assert decoder.next_envelope() == CALL
        assert decoder.next_envelope() is None
        assert not decoder.has_partial_frame

    def test_frame_in_pieces_is_decoded_once_complete(self):
        decoder = wire.FrameDecoder()
        data = wire.encode_frame(CALL) * 2
        for position in range(len(data) - 1):
            decoder.feed(data[position : position + 1])
            decoded = decoder.next_envelope()
            assert (decoded == CALL) == (position == len(data) / 2 - 1)
        assert decoder.has_partial_frame
        decoder.feed(data[-1:])
        assert decoder.next_envelope() == CALL

    @pytest.mark.parametrize(
        "data",
        [
            b"\x00\x00\x00\x08rubbish!",
            b"GET / HTTP/1.1\r\n\r\n",
            wire.LENGTH_PREFIX.pack(0),
        ],
    )
    def test_invalid_bytes_are_a_protocol_error(self, data):
        with pytest.raises(errors.PeerProtocolError):
            make_decoder(data).next_envelope()

    @pytest.mark.parametrize(
        "data", [b"\x00\x00", wire.encode_frame(CALL)[:-1]]
    )
    def test_incomplete_frame_returns_none(self, data):
        decoder = make_decoder(data)
        assert decoder.next_envelope() is None
        assert decoder.has_partial_frame

    def test_frame_above_the_limit_is_rejected(self):
        with pytest.raises(errors.PeerProtocolError, match="limit"):
            make_decoder(
                wire.encode_frame(CALL)[:8], max_bytes=16
            ).next_envelope()
        with pytest.raises(errors.FrameTooLargeError):
            wire.encode_frame(CALL, 16)


class TestCompression:
    """Compression of large messages of the control group."""

    def make_grant(self, member_count):
        """Returns the envelope of a grant with a view of many members."""
        view = messages.ServiceView(
            service="stock",
            members=[
                messages.Member(
                    host=f"node-lima-{number}",
                    incarnation=f"{number:016x}",
                    data_centre="lima",
                    peer_address=f"10.1.0.{number}:7620",
                )
                for number in range(member_count)
            ],
        )
        return messages.Envelope(
            stream=7, body=messages.LeaseGrant(granted=True, views=[view])
        )

    def test_full_view_is_compressed(self):
        """Guards against control traffic that saturates links between regions."""
        grant = self.make_grant(200)
        frame = wire.encode_frame(grant)
        assert len(frame) < len(messages.encode_envelope(grant)) / 4
        assert make_decoder(frame).next_envelope() == grant

    def test_small_messages_and_calls_are_not_compressed(self):
        grant = self.make_grant(1)
        call = messages.Envelope(body=messages.Call(body=bytes(5000)))
        for envelope in (grant, call):
            uncompressed = messages.encode_envelope(envelope)
            assert (
                wire.encode_frame(envelope)[wire.LENGTH_PREFIX.size :]
                == uncompressed
            )

    def test_decompressed_size_is_bounded(self):
        """Guards against small frames that exhaust the receiver's memory."""
        frame = wire.encode_frame(self.make_grant(200))
        with pytest.raises(
            errors.PeerProtocolError, match="is incomplete or exceeds"
        ):
            make_decoder(frame, max_bytes=len(frame)).next_envelope()

    @pytest.mark.parametrize("data", [b"", b"rubbish"])
    def test_invalid_compressed_data_is_rejected(self, data):
        body = messages.Deflated(envelope=data)
        frame = wire.encode_frame(messages.Envelope(body=body))
        with pytest.raises(errors.PeerProtocolError):
            make_decoder(frame).next_envelope()

    def test_nested_compression_is_rejected(self):
        """Guards against nested envelopes that grow at each level."""
        frame = wire.encode_frame(self.make_grant(200))
        inner = zlib.compress(frame[wire.LENGTH_PREFIX.size :])
        body = messages.Deflated(envelope=inner)
        with pytest.raises(errors.PeerProtocolError, match="twice"):
            make_decoder(
                wire.encode_frame(messages.Envelope(body=body))
            ).next_envelope()
