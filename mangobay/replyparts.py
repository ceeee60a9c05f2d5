"""Large bodies on a connection between two nodes: parts and their credit."""

import asyncio
import typing

from mangobay import errors, httpheaders, requestbody, responsestream
from mangobay.generated import messages

WINDOW_BYTES = 256 * 1024
"""Most bytes of a body between two nodes that are in flight or unread."""
CREDIT_BYTES = 64 * 1024
"""Consumed bytes after which a receiver gives credit for as many more."""
CREDIT_STALLS = 3
"""Time without credit after which a sender gives a body up, as a multiple of the
time in which the caller has to read something.

The receiver passes on CREDIT_BYTES and a part in at most three such times: its
write buffer takes at least 48 KiB each time that it has room again.
"""
LENGTH_HEADER = "Content-Length"


class PeerConnection(typing.Protocol):
    """The part of `connections.Connection` that carries parts."""

    write_gate: responsestream.WriteGate

    def send(self, envelope: messages.Envelope) -> None:
        """Writes an envelope."""

    def untrack_request(self, stream: int) -> None:
        """Told that nothing more is awaited on a stream."""


class PartSender:
    """Sends the body of a reply, or the rest of a request, to another node.

    Attributes:
      credit: bytes that the receiver takes now.
      credit_seconds: time to wait for more.
      credit_waiter: future of the wait for more.
    """

    def __init__(
        self,
        connection: PeerConnection,
        stream: int,
        body: requestbody.Source,
        credit_seconds: float,
    ):
        self.connection = connection
        self.stream = stream
        self.body = body
        self.credit = WINDOW_BYTES
        self.credit_seconds = credit_seconds
        self.credit_waiter: asyncio.Future | None = None

    def add_credit(self, byte_count: int) -> None:
        """Adds credit of the receiver."""
        self.credit += byte_count
        if self.credit_waiter is not None and not self.credit_waiter.done():
            self.credit_waiter.set_result(None)

    async def run(self) -> messages.ReplyPart:
        """Sends all parts but the last, which it returns."""
        try:
            while data := await self.body.read(responsestream.PART_BYTES):
                if self.must_wait(len(data)):
                    async with asyncio.timeout(self.credit_seconds):
                        await self.wait_for_credit(len(data))
                        await self.connection.write_gate.wait()
                self.credit -= len(data)
                self.send(messages.ReplyPart(data=data))
        except (errors.ResponseCutOffError, TimeoutError):
            return messages.ReplyPart(last=True, cut_off=True)
        finally:
            self.body.abandon()
        return messages.ReplyPart(last=True)

    def must_wait(self, byte_count: int) -> bool:
        """Returns whether bytes may not be sent yet."""
        return self.credit < byte_count or self.connection.write_gate.closed

    async def wait_for_credit(self, byte_count: int) -> None:
        """Returns once the receiver takes as many bytes."""
        while self.credit < byte_count:
            self.credit_waiter = asyncio.get_running_loop().create_future()
            await self.credit_waiter

    def send(self, message: messages.EnvelopeBody) -> None:
        """Sends a message on the stream of the reply."""
        self.connection.send(
            messages.Envelope(stream=self.stream, body=message)
        )


class PartReceiver:
    """Receives a body from another node; its producer.

    Attributes:
      receivers: receivers of the connection by stream, this one among them.
      body: the body.
      uncredited_bytes: consumed bytes for which no credit was given yet.
    """

    def __init__(
        self,
        connection: PeerConnection,
        stream: int,
        length: int | None,
        receivers: dict[int, "PartReceiver"],
        body_class: type[responsestream.Body] = responsestream.Body,
    ):
        self.connection = connection
        self.receivers = receivers
        self.stream = stream
        self.body = body_class(length, self)
        self.uncredited_bytes = 0

    def receive(self, message: messages.EnvelopeBody) -> None:
        """Takes the next message of the stream.

        Raises:
          errors.PeerProtocolError: the peer has sent more than its credit.
        """
        if not isinstance(message, messages.ReplyPart):
            self.fail("the other node failed")
            return
        held_bytes = self.body.unread_bytes + self.uncredited_bytes
        if held_bytes + len(message.data) > WINDOW_BYTES:
            raise errors.PeerProtocolError("more bytes than credit")
        self.body.feed(message.data)
        if not message.last:
            return
        if message.cut_off:
            self.fail("cut off before the other node")
            return
        self.release()
        self.body.finish()

    def release(self) -> None:
        """Forgets the stream."""
        if self.receivers.pop(self.stream, None) is not None:
            self.connection.untrack_request(self.stream)

    def fail(self, reason: str) -> None:
        """Cuts the body off."""
        self.release()
        self.body.cut_off(reason)

    def consumed(self, byte_count: int) -> None:
        """Gives credit once enough bytes are consumed."""
        self.uncredited_bytes += byte_count
        if self.uncredited_bytes >= CREDIT_BYTES:
            credit = messages.ReplyCredit(bytes=self.uncredited_bytes)
            self.uncredited_bytes = 0
            self.send(credit)

    def abandoned(self) -> None:
        """Tells the other node that no more parts are wanted."""
        self.release()
        self.send(messages.Cancel())

    def send(self, message: messages.EnvelopeBody) -> None:
        """Sends a message on the stream of the reply."""
        self.connection.send(
            messages.Envelope(stream=self.stream, body=message)
        )


def encode_head(reply: responsestream.StreamedReply) -> messages.Reply:
    """Returns the message with which a streamed reply begins.

    The length is the last header: a field for it would have to be decoded
    from every reply.
    """
    length = reply.source.length
    if length is not None:
        header = messages.Header(name=LENGTH_HEADER, value=str(length))
        reply.headers = [*reply.headers, header]
    return reply


def decode_length(reply: messages.Reply) -> int | None:
    """Removes the length from the headers of a reply, and returns it."""
    value = httpheaders.find(reply.headers[-1:], LENGTH_HEADER)
    if not value.isdecimal():
        return None
    reply.headers.pop()
    return int(value)


class PeerBodies:
    """The bodies that one connection carries.

    Attributes:
      senders: senders of bodies to the peer, by stream.
      receivers: receivers of bodies of the peer, by stream.
      stall_timeout: seconds in which a caller has to read something.
    """

    def __init__(self, connection: PeerConnection, stall_timeout: float):
        self.connection = connection
        self.stall_timeout = stall_timeout
        self.senders: dict[int, PartSender] = {}
        self.receivers: dict[int, PartReceiver] = {}

    def start_receiving(
        self, stream: int, reply: messages.Reply
    ) -> responsestream.StreamedReply:
        """Returns a reply whose body is received in parts."""
        receiver = PartReceiver(
            self.connection, stream, decode_length(reply), self.receivers
        )
        self.receivers[stream] = receiver
        return responsestream.StreamedReply.make(reply, receiver.body)

    def start_receiving_request(
        self, stream: int, call: messages.Call
    ) -> requestbody.ContinuedCall:
        """Returns a call whose body is received in parts."""
        receiver = PartReceiver(
            self.connection,
            stream,
            requestbody.decode_length(call),
            self.receivers,
            requestbody.RequestBody,
        )
        self.receivers[stream] = receiver
        return requestbody.ContinuedCall.make(call, receiver.body)

    def release_request(self, stream: int) -> None:
        """Drops what is still coming of a request that has ended."""
        receiver = self.receivers.pop(stream, None)
        if receiver is not None:
            receiver.body.cut_off("the request has ended")

    async def send_request_rest(
        self, stream: int, rest: requestbody.Source
    ) -> None:
        """Sends the rest of a request."""
        sender = PartSender(
            self.connection, stream, rest, CREDIT_STALLS * self.stall_timeout
        )
        self.senders[stream] = sender
        try:
            sender.send(await sender.run())
        finally:
            del self.senders[stream]

    def receive(self, envelope: messages.Envelope) -> None:
        """Passes a part to its body, unless that has ended."""
        receiver = self.receivers.get(envelope.stream)
        if receiver is not None:
            receiver.receive(envelope.body)

    def abandon(self, stream: int) -> None:
        """Releases the incoming body of a stream, if there is one."""
        receiver = self.receivers.get(stream)
        if receiver is not None:
            receiver.body.abandon()

    def cut_off(self, reason: str) -> None:
        """Cuts off all bodies that are being received."""
        for receiver in list(self.receivers.values()):
            receiver.abandoned()
            receiver.body.cut_off(reason)

    def add_credit(self, stream: int, byte_count: int) -> None:
        """Lets a reply to the peer continue, unless it has ended."""
        sender = self.senders.get(stream)
        if sender is not None:
            sender.add_credit(byte_count)

    async def send(
        self, stream: int, reply: responsestream.StreamedReply
    ) -> messages.ReplyPart:
        """Sends a reply up to its last part, which it returns."""
        sender = PartSender(
            self.connection,
            stream,
            reply.source,
            CREDIT_STALLS * self.stall_timeout,
        )
        self.senders[stream] = sender
        try:
            sender.send(encode_head(reply))
            return await sender.run()
        finally:
            reply.source.abandon()
            del self.senders[stream]
