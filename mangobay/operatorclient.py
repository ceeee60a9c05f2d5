"""Client of the operator API that every control host offers over HTTP."""

import asyncio
import dataclasses
import os
import typing

import aiohttp

from mangobay import errors, findings, ids, options

ATTEMPT_TIMEOUT_SECONDS = 3.0
"""Seconds to wait for one control host before the next one is asked."""
ROUND_DELAY_SECONDS = 0.2
"""Seconds between two rounds over all control hosts: an election's length."""
Record = typing.TypeVar("Record")


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """The answer to a sheet.

    Attributes:
      revision: the revision that holds it.
      changed: rows that are new or differ.
      removed: rows that are gone.
      repeated: the same sheet had been accepted before.
    """

    revision: ids.Revision
    changed: int
    removed: int
    repeated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """How far a revision has come.

    Attributes:
      count: hosts that act by it.
      of: hosts that hold a lease.
      stragglers: the hosts that do not act by it yet.
    """

    count: int
    of: int
    stragglers: list[ids.HostId]

    @property
    def is_complete(self) -> bool:
        """Whether every host acts by it."""
        return self.count == self.of and not self.stragglers


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A host as the control group knows it.

    Attributes:
      host: its name.
      data_centre: where it stands.
      revision: the revision it acts by.
      lease: whether it holds a lease.
      leaving: whether it gets no new work.
      serves: the services it announced.
    """

    host: ids.HostId
    data_centre: ids.DataCentre
    revision: ids.Revision
    lease: bool
    leaving: bool
    serves: list[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The state of the control group and of every host.

    Attributes:
      leader: the control host that leads.
      term: its term.
      commit: newest committed entry of the log.
      revision: newest accepted revision.
      hosts: every known host.
      in_force: how far the newest revision has come.
    """

    leader: ids.HostId
    term: ids.Term
    commit: ids.LogIndex
    revision: ids.Revision
    hosts: list[Host]
    in_force: RolloutStatus


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptedSheet:
    """An accepted sheet in the history.

    Attributes:
      revision: the revision that it made.
      version: the version its operator gave it.
      operator: who sent it.
      accepted_ms: Unix time at the leader, milliseconds.
      changed_rows: rows that were new or differed.
      removed_rows: rows that went.
    """

    revision: ids.Revision
    version: ids.SheetVersion
    operator: str
    accepted_ms: int
    changed_rows: int
    removed_rows: int


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The accepted sheets.

    Attributes:
      sheets: the newest ones, oldest first.
      omitted_count: how many older ones are not named any more.
    """

    sheets: list[AcceptedSheet]
    omitted_count: int


def decode_record(cls: type[Record], data: dict, **nested) -> Record:
    """Returns a record out of a JSON object; unknown members are ignored.

    Args:
      cls: the record's class.
      data: the JSON object.
      **nested: members that are records themselves.

    Raises:
      errors.OperatorProtocolError: a member is missing.
    """
    names = [field.name for field in dataclasses.fields(cls)]
    try:
        return cls(
            **{
                name: nested[name] if name in nested else data[name]
                for name in names
            }
        )
    except KeyError as error:
        raise errors.OperatorProtocolError(
            f"the control host's answer has no {error.args[0]}"
        ) from None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that any control host may be asked.

    Attributes:
      method: the HTTP method.
      path: the path.
      query: the query parameters.
      body: the body.
      wait_seconds: seconds the control host may hold the answer back.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    wait_seconds: float


class NoResponseError(Exception):
    """A control host gave no answer; another one must be asked."""


class OperatorClient:
    """Asks the control hosts, one after the other until one answers.

    Every request may be sent again after a lost answer: the control group
    answers a sheet with the same version and content as it did before.

    Attributes:
      addresses: operator addresses of the control hosts.
      timeout_seconds: seconds until a request is given up.
      preferred_address: address that answered last; asked first.
    """

    def __init__(
        self,
        addresses: tuple[options.Address, ...],
        timeout_seconds: float = 10.0,
    ):
        self.addresses = addresses
        self.timeout_seconds = timeout_seconds
        self.preferred_address = addresses[0]
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "OperatorClient":
        """Opens the session."""
        self.session = aiohttp.ClientSession(trust_env=False)
        return self

    async def __aexit__(self, *unused) -> None:
        """Closes the session."""
        await self.session.close()

    async def apply(
        self, data: bytes, version: ids.SheetVersion, operator: str
    ) -> ApplyResult:
        """Sends a sheet; returns once it is committed.

        Raises:
          errors.ConflictError: the version is taken by another content.
          errors.OperatorRefusedError: it was used long ago.
          errors.SheetError: with every finding.
          errors.ControlUnreachableError: no control host could answer.
        """
        query = {"version": version, "operator": operator}
        document = await self.send_request("POST", "/v1/sheets", query, data)
        return decode_record(ApplyResult, document)

    async def status(self) -> Status:
        """Returns the state of the control group and of every host."""
        document = await self.send_request("GET", "/v1/status")
        return decode_record(
            Status,
            document,
            hosts=decode_hosts(document),
            in_force=decode_record(RolloutStatus, document.get("in_force", {})),
        )

    async def history(self) -> History:
        """Returns the newest accepted sheets."""
        document = await self.send_request("GET", "/v1/history")
        sheets = [
            decode_record(AcceptedSheet, item)
            for item in document.get("items", [])
        ]
        return History(sheets, document.get("cut", 0))

    async def hosts(self) -> list[Host]:
        """Returns every known host."""
        return decode_hosts(await self.send_request("GET", "/v1/hosts"))

    async def drain(self, host: ids.HostId) -> None:
        """Asks a host to leave.

        Raises:
          errors.OperatorRefusedError: no such host.
        """
        await self.send_request("POST", f"/v1/hosts/{host}/drain")

    async def in_force(
        self, revision: ids.Revision, wait_seconds: float
    ) -> RolloutStatus:
        """Returns how far a revision has come, after at most `wait` seconds."""
        path = f"/v1/revisions/{revision}/in-force"
        document = await self.send_request(
            "GET",
            path,
            {"wait": f"{wait_seconds:g}"},
            wait_seconds=wait_seconds,
        )
        return decode_record(RolloutStatus, document)

    async def send_request(
        self,
        method: str,
        path: str,
        query: dict[str, str] | None = None,
        body: bytes = b"",
        wait_seconds: float = 0,
    ) -> dict:
        """Returns the JSON answer of the first control host that has one.

        Raises:
          errors.MangobayError: what the answer says, or that none came.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self.timeout_seconds + wait_seconds
        request = Request(method, path, query or {}, body, wait_seconds)
        while True:
            failures: dict[options.Address, str] = {}
            for address in self.ordered_addresses():
                try:
                    return await self.send_to(address, request)
                except NoResponseError as error:
                    failures[address] = str(error)
            if loop.time() >= give_up_at:
                raise errors.ControlUnreachableError(failures)
            await asyncio.sleep(ROUND_DELAY_SECONDS)

    async def send_to(self, address: options.Address, request: Request) -> dict:
        """Returns the JSON answer of one control host.

        Raises:
          NoAnswerError: another one must be asked.
          errors.MangobayError: what the answer says.
        """
        try:
            async with self.session.request(
                request.method,
                f"http://{address}{request.path}",
                params=request.query,
                data=request.body,
                timeout=aiohttp.ClientTimeout(
                    ATTEMPT_TIMEOUT_SECONDS + request.wait_seconds
                ),
            ) as response:
                if response.status == 503:
                    raise NoResponseError("does not lead")
                self.preferred_address = address
                return await decode_response(response, request.query)
        except TimeoutError:
            raise NoResponseError("did not answer in time") from None
        except aiohttp.ClientConnectorError as error:
            reason = (
                os.strerror(error.errno) if error.errno else "cannot connect"
            )
            raise NoResponseError(reason) from None
        except aiohttp.ClientError as error:
            raise NoResponseError(str(error)) from None

    def ordered_addresses(self) -> list[options.Address]:
        """Returns the addresses, the one that answered last first."""
        return sorted(
            self.addresses,
            key=lambda address: address != self.preferred_address,
        )


def decode_hosts(document: dict) -> list[Host]:
    """Returns the hosts in an answer."""
    return [decode_record(Host, item) for item in document.get("hosts", [])]


async def decode_response(
    response: aiohttp.ClientResponse, query: dict[str, str]
) -> dict:
    """Returns the JSON object of an answer.

    Raises:
      errors.MangobayError: the typed error that the answer stands for.
    """
    try:
        document = await response.json(content_type=None)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise errors.OperatorProtocolError(
            f"the control host's answer {response.status} is no JSON object"
        )
    match response.status:
        case 200 | 202:
            return document
        case 409 if "winner" in document:
            raise errors.ConflictError(
                query.get("version", ""), document["winner"]
            )
        case 422 if "findings" in document:
            raise errors.SheetError(
                [
                    decode_record(findings.Finding, item)
                    for item in document["findings"]
                ]
            )
    detail = (
        document.get("detail") or document.get("title") or "no reason given"
    )
    raise errors.OperatorRefusedError(response.status, detail)
