"""Exception classes of the system."""

import typing

if typing.TYPE_CHECKING:
    from mangobay import findings as findings_module


class MangobayError(Exception):
    """Base class of all errors; the message is meant for operators."""


class FindingsError(MangobayError):
    """An input file is invalid.

    Attributes:
      findings: all findings, in the order of the input.
    """

    def __init__(self, findings: "list[findings_module.Finding]"):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings


class SettingsError(FindingsError):
    """The settings file is invalid."""


class SheetError(FindingsError):
    """The sheet is invalid."""


class StartError(MangobayError):
    """A process cannot start, as when a port is in use."""


class ControlUnavailableError(MangobayError):
    """No control host replied in time, so its information is missing."""


class BadRequestError(MangobayError):
    """A parameter of an operator's request is invalid."""


class BodyTooLargeError(MangobayError):
    """The body of a request is above the limit."""


class BodyRefusedError(MangobayError):
    """The body of a request was not received, as others hold too much."""


class NotFoundError(MangobayError):
    """An operator's request names an unknown host, service or revision."""


class PeerError(MangobayError):
    """Base class of errors on a connection to another process."""


class PeerUnreachableError(PeerError):
    """The request could not be sent: no byte of it was written."""


class CallRefusedError(PeerUnreachableError):
    """The call was sent, but the peer refused it for good before it arrived."""


class PeerBrokenError(PeerError):
    """The request was sent but no reply can come: its outcome is unknown."""


class PeerClosedError(PeerError):
    """The connection ended before the handshake was done."""


class PeerProtocolError(PeerError):
    """The peer sent invalid data or an unexpected message."""


class FrameTooLargeError(PeerUnreachableError):
    """The message exceeds the maximum frame size: no byte of it was sent."""


class BackendError(MangobayError):
    """Base class of errors of a request to the backend server on this host."""


class BackendUnreachableError(BackendError):
    """Connecting failed: no byte of the request was sent."""


class StoppingError(BackendError):
    """The process stops too soon for the request: no byte of it was sent."""


class RequestCutOffError(BackendError):
    """The body of the request was cut off: no byte of the request was sent."""


class ServerLeftError(BackendError):
    """The backend server has left: no byte of the request was sent."""


class BackendBrokenError(BackendError):
    """No complete response was received; the request may have run."""


class IncompleteResponseError(BackendBrokenError):
    """The response ended early, or its framing cannot show that it is complete."""


class ResponseTooLargeError(BackendBrokenError):
    """The response is larger than the settings allow."""


class ResponseCutOffError(MangobayError):
    """A large response ended before its end, after its head was passed on."""


class BackendTimeoutError(BackendError):
    """The deadline passed; the attempt records whether a byte was sent."""


class StorageError(MangobayError):
    """The data directory cannot be read or written."""


class DiskFullError(StorageError):
    """The disk is full; writes can succeed again once there is space."""


class CorruptLogError(StorageError):
    """A log record other than the last fails its checksum.

    Such a log is rejected and never truncated.
    """


class NotLeaderError(MangobayError):
    """This control host is not the leader or cannot confirm that it is.

    Attributes:
      leader: the host to ask instead; empty if unknown.
      address: the peer address of that host; empty if unknown.
    """

    def __init__(self, leader: str = "", address: str = ""):
        super().__init__(
            f"not the leader; ask {leader or 'another control host'}"
        )
        self.leader = leader
        self.address = address


class LeadershipLostError(MangobayError):
    """Leadership was lost before a proposal was committed.

    The proposal may still be committed by the next leader.

    Attributes:
      index: log index of the proposal at the former leader.
    """

    def __init__(self, index: int):
        super().__init__(
            f"lost the lead before entry {index} was committed; send it again"
        )
        self.index = index


class ShuttingDownError(MangobayError):
    """This process is shutting down: the request was not started."""


class AbortedByShutdownError(MangobayError):
    """This process shut down during a request, whose outcome is unknown."""


class ConflictError(MangobayError):
    """A sheet with other content was committed under the same version.

    Attributes:
      winner: the revision of that sheet.
    """

    def __init__(self, version: str, winner: int):
        super().__init__(
            f"version {version} was committed with other content as revision {winner}"
        )
        self.winner = winner


class VersionUsedError(MangobayError):
    """The version was used by a sheet that is no longer in the history.

    Whether that sheet had the same content is not known any more, so the new
    one is rejected.
    """

    def __init__(self, version: str):
        super().__init__(
            f"version {version} was used by a sheet that the history no"
            " longer names; give this one another version"
        )


class RevisionMismatchError(MangobayError):
    """A table update is based on another revision than the current one.

    The node then asks for the whole table.
    """

    def __init__(self, base: int, revision: int):
        super().__init__(
            f"update is based on revision {base}, but revision {revision} is"
            " in force"
        )


class OperatorError(MangobayError):
    """Base class of errors of an operator's request."""


class OperatorProtocolError(OperatorError):
    """A control host's response does not follow the operator API."""


class OperatorRefusedError(OperatorError):
    """A control host rejected the request.

    Attributes:
      status: the HTTP status code.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(f"refused with status {status}: {detail}")
        self.status = status


class ControlUnreachableError(OperatorError):
    """No control host responded; the message gives the reason for each."""

    def __init__(self, failures: dict):
        details = "; ".join(
            f"{host}: {reason}" for host, reason in failures.items()
        )
        super().__init__(f"no control host answered: {details}")


class MetricsUnavailableError(MangobayError):
    """A process given to `mangobay workspaces` serves no metrics."""

    def __init__(self, address: str, reason: str):
        super().__init__(f"{address} serves no metrics: {reason}")


class LogFileError(MangobayError):
    """A file given to `mangobay report` or `mangobay trace` cannot be read."""

    def __init__(self, path: str, reason: str):
        super().__init__(f"{path}: {reason}")


class NoRecordsError(MangobayError):
    """The given logs contain no records of the requested period."""

    def __init__(self):
        super().__init__("the given logs contain no records of this period")


class InvariantError(MangobayError):
    """An action was stopped that would have violated an invariant."""
