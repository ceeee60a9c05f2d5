"""What the surroundings of the system say, without how it is written down."""

import collections.abc
import dataclasses
import enum
import pathlib

from mangobay import ids

Fields = collections.abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Place:
    """One host and its addresses.

    Attributes:
      name: of the host.
      data_centre: where it stands.
      ip: of all its listeners.
      service: of its backend server, empty on a control host.
      founds: whether it is one of the hosts that found the control group.
    """

    name: ids.HostId
    data_centre: ids.DataCentre
    ip: str
    service: ids.ServiceName
    founds: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """The ports that every host uses, each on an IP number of its own."""

    outside: int
    ready: int
    heartbeats: int
    operator: int
    backend: int
    internal: tuple[int, int]

    @property
    def metrics(self) -> int:
        """Where metrics are read."""
        return self.internal[1]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Told:
    """What a request says in its fields.

    Attributes:
      attempt: its name.
      seconds: for which its caller still waits.
      caller: the service on whose host it began.
      instance: the incarnation that alone may run it, empty for any.
    """

    attempt: ids.AttemptId
    seconds: float
    caller: str
    instance: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Beat:
    """What a backend server says of itself."""

    instance: ids.InstanceId
    address: str
    born_ms: int
    sequence: int
    service: ids.ServiceName
    data_centre: ids.DataCentre
    slots: int
    draining: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One route of a configuration; `timeout` in seconds.

    `large` tells that its responses may be large; they are repeatable then.
    """

    hostname: str
    service: ids.ServiceName
    repeatable: bool
    timeout: float
    large: bool = False


class Flaw(enum.Enum):
    """What makes a configuration invalid."""

    UNKNOWN_SERVICE = "a route names an unknown service"
    NEGATIVE_WEIGHT = "a weight is below 0"
    NO_TIMEOUT = "a timeout is 0"
    LONG_TIMEOUT = "a timeout is over ten minutes"
    NO_ATTEMPTS = "a route has no attempts"
    UNKNOWN_TYPE = "a route is of an unknown type"
    OLD_VERSION = "its version is the current one"
    CUT_SHORT = "its end is missing"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Launch:
    """How a program is started: its command line and its environment."""

    command: tuple[str, ...]
    environment: dict[str, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """How callers, backend servers and operators speak to the programs.

    Attributes:
      ports: of every host.
      request_fields: by attempt and seconds left, of a caller's request.
      told: what the fields of a request at a backend server say.
      answer_fields: by attempt and signature, of a backend server's answer.
      refusal_fields: by attempt, of an answer to what was not run.
      state_fields: by rate limit and leaving, of what a backend server says
        about itself in every response.
      signature: the signature in an answer's fields, empty without one.
      attempt: the request that an answer names, empty without one.
      beat: a whole request that tells a node of its backend server.
      publish: a whole request that puts routes in force, by version, the
        version it builds on (0: none), and routes.
      publish_flawed: the same for an invalid configuration, by flaw as well.
      content: what identifies the configuration in a body, but for its form.
      describe: a whole request that reads the configuration back.
      health_path: of the health checks of backend servers.
      version: the version in the answer to `describe`.
      ready: a whole request that asks a node whether it takes callers.
      metrics: a whole request that reads the metrics of a process.
      settings: the text of a settings file, by tree, host, seeds and folder.
      entries: by folder and control host, the file of its newest entries.
      launch: how a program of a tree is started with a settings file.
    """

    ports: Ports
    request_fields: collections.abc.Callable[[ids.AttemptId, float], Fields]
    told: collections.abc.Callable[[Fields], Told]
    answer_fields: collections.abc.Callable[[ids.AttemptId, str], Fields]
    refusal_fields: collections.abc.Callable[[ids.AttemptId], Fields]
    state_fields: collections.abc.Callable[[float | None, bool], Fields]
    signature: collections.abc.Callable[[Fields], str]
    attempt: collections.abc.Callable[[Fields], str]
    beat: collections.abc.Callable[[Beat], bytes]
    publish: collections.abc.Callable[[int, int, list[Route]], bytes]
    publish_flawed: collections.abc.Callable[
        [int, int, list[Route], Flaw], bytes
    ]
    content: collections.abc.Callable[[bytes], str]
    describe: bytes
    health_path: str
    version: collections.abc.Callable[[bytes], int]
    ready: bytes
    metrics: bytes
    settings: collections.abc.Callable[
        [pathlib.Path, Place, list[str], pathlib.Path], str
    ]
    entries: collections.abc.Callable[[pathlib.Path, Place], pathlib.Path]
    launch: collections.abc.Callable[
        [pathlib.Path, Place, pathlib.Path], Launch
    ]
