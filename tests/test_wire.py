"""Frames on a stream."""

import zlib

import pytest

from mangobay import errors, wire
from mangobay.generated import messages


def make_decoder(*parts, max_bytes=wire.DEFAULT_MAX_FRAME_BYTES):
    """Returns frames to which the bytes have come."""
    frames = wire.FrameDecoder(max_bytes)
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


class TestFrameDecoder:
    """What comes out of a stream."""

    def test_frames_come_out_as_they_went_in(self):
        frames = make_decoder(wire.encode_frame(CALL) + wire.encode_frame(CALL))
        assert frames.next_envelope() == CALL
        assert frames.next_envelope() == CALL
        assert frames.next_envelope() is None
        assert not frames.has_partial_frame

    def test_a_frame_in_pieces_is_taken_once_it_is_whole(self):
        frames = wire.FrameDecoder()
        data = wire.encode_frame(CALL) * 2
        for position in range(len(data) - 1):
            frames.feed(data[position : position + 1])
            taken = frames.next_envelope()
            assert (taken == CALL) == (position == len(data) / 2 - 1)
        assert frames.has_partial_frame
        frames.feed(data[-1:])
        assert frames.next_envelope() == CALL

    @pytest.mark.parametrize(
        "data",
        [
            b"\x00\x00\x00\x08rubbish!",
            b"GET / HTTP/1.1\r\n\r\n",
            wire.LENGTH_PREFIX.pack(0),
        ],
    )
    def test_rubbish_is_a_typed_error(self, data):
        with pytest.raises(errors.PeerProtocolError):
            make_decoder(data).next_envelope()

    @pytest.mark.parametrize(
        "data", [b"\x00\x00", wire.encode_frame(CALL)[:-1]]
    )
    def test_half_a_frame_is_none(self, data):
        frames = make_decoder(data)
        assert frames.next_envelope() is None
        assert frames.has_partial_frame

    def test_a_frame_above_the_limit_is_refused_unread(self):
        with pytest.raises(errors.PeerProtocolError, match="limit"):
            make_decoder(
                wire.encode_frame(CALL)[:8], max_bytes=16
            ).next_envelope()
        with pytest.raises(errors.FrameTooLargeError):
            wire.encode_frame(CALL, 16)


class TestCompression:
    """Long messages of the control group."""

    def make_grant(self, members):
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
        grant = self.make_grant(200)
        frame = wire.encode_frame(grant)
        assert len(frame) < len(messages.encode_envelope(grant)) / 4
        assert make_decoder(frame).next_envelope() == grant

    def test_short_ones_and_calls_go_as_they_are(self):
        grant = self.make_grant(1)
        call = messages.Envelope(body=messages.Call(body=bytes(5000)))
        for envelope in (grant, call):
            plain = messages.encode_envelope(envelope)
            assert (
                wire.encode_frame(envelope)[wire.LENGTH_PREFIX.size :] == plain
            )

    def test_one_that_grows_above_the_limit_is_refused(self):
        """Guards against a few bytes that fill the memory of their reader."""
        frame = wire.encode_frame(self.make_grant(200))
        with pytest.raises(
            errors.PeerProtocolError, match="is incomplete or exceeds"
        ):
            make_decoder(frame, max_bytes=len(frame)).next_envelope()

    @pytest.mark.parametrize("data", [b"", b"rubbish"])
    def test_rubbish_inside_is_refused(self, data):
        body = messages.Deflated(envelope=data)
        frame = wire.encode_frame(messages.Envelope(body=body))
        with pytest.raises(errors.PeerProtocolError):
            make_decoder(frame).next_envelope()

    def test_one_inside_another_is_refused(self):
        """Guards against a chain of envelopes that each grow."""
        frame = wire.encode_frame(self.make_grant(200))
        inner = zlib.compress(frame[wire.LENGTH_PREFIX.size :])
        body = messages.Deflated(envelope=inner)
        with pytest.raises(errors.PeerProtocolError, match="twice"):
            make_decoder(
                wire.encode_frame(messages.Envelope(body=body))
            ).next_envelope()
