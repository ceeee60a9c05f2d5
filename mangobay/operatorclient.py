"""Client of the operator API that every control host offers over HTTP."""

import asyncio
import dataclasses
import os
import typing

import aiohttp

from mangobay import errors, findings, ids, options

ATTEMPT_TIMEOUT_SECONDS = 3.0
"""Seconds to wait for one control host before the next one is tried."""
ROUND_DELAY_SECONDS = 0.2
"""Seconds between two rounds over all control hosts.

This is about as long as an election takes.
"""
Record = typing.TypeVar("Record")


@dataclasses.dataclass(frozen=True, slots=True)
class ApplyResult:
    """The result of sending a sheet.

    Attributes:
      revision: the revision that contains the sheet.
      changed: number of rows that are new or differ.
      removed: number of rows that were removed.
      repeated: whether the same sheet was accepted before.
    """

    revision: ids.Revision
    changed: int
    removed: int
    repeated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutStatus:
    """How many hosts apply a revision.

    Attributes:
      count: number of hosts that apply the revision.
      of: number of member hosts.
      stragglers: the hosts that do not apply it yet.
    """

    count: int
    of: int
    stragglers: list[ids.HostId]

    @property
    def is_complete(self) -> bool:
        """Whether every host applies the revision."""
        return self.count == self.of and not self.stragglers


@dataclasses.dataclass(frozen=True, slots=True)
class Host:
    """A member host, as the control group knows it.

    Attributes:
      host: the name.
      data_centre: the data centre of the host.
      revision: the revision that the host applies.
      lease: whether the host holds a lease.
      leaving: whether the host is leaving and gets no new calls.
      serves: the services that the host announced.
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
      term: the term of the leader.
      commit: the commit index.
      revision: newest accepted revision.
      hosts: every member host.
      in_force: rollout of the newest revision.
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
      revision: the revision that contains the sheet.
      version: the version that the operator gave.
      operator: the name of the operator who sent the sheet.
      accepted_ms: Unix time at the leader, milliseconds.
      changed_rows: number of rows that were new or differed.
      removed_rows: number of rows that were removed.
    """

    revision: ids.Revision
    version: ids.SheetVersion
    operator: str
    accepted_ms: int
    changed_rows: int
    removed_rows: int


@dataclasses.dataclass(frozen=True, slots=True)
class History:
    """The history of accepted sheets.

    Attributes:
      sheets: the newest sheets, oldest first.
      omitted_count: number of older sheets that were dropped from the
        history.
    """

    sheets: list[AcceptedSheet]
    omitted_count: int


def decode_record(cls: type[Record], data: dict, **nested) -> Record:
    """Decodes a record from a JSON object; unknown members are ignored.

    Args:
      cls: the class of the record.
      data: the JSON object.
      **nested: decoded values of members that are records themselves.

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
            f"the control host's response has no member {error.args[0]}"
        ) from None


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that can be sent to any control host.

    Attributes:
      method: the HTTP method.
      path: the path.
      query: the query parameters.
      body: the body.
      wait_seconds: seconds for which the control host may delay the response.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    wait_seconds: float


class NoResponseError(Exception):
    """One control host gave no usable response; the next one is tried."""


class OperatorClient:
    """Sends requests to the control hosts, in turn until one responds.

    Every request can be sent again after a lost response: if the same content
    was already accepted under the same version, the control group returns the
    same result again.

    Attributes:
      addresses: operator addresses of the control hosts.
      timeout_seconds: seconds after which no further round is started.
      preferred_address: address that responded last; it is tried first.
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
        """Opens the HTTP session."""
        self.session = aiohttp.ClientSession(trust_env=False)
        return self

    async def __aexit__(self, *unused) -> None:
        """Closes the HTTP session."""
        await self.session.close()

    async def apply(
        self, data: bytes, version: ids.SheetVersion, operator: str
    ) -> ApplyResult:
        """Sends a sheet; returns once it is committed.

        Raises:
          errors.ConflictError: the version is used by a sheet with other
            content.
          errors.OperatorRefusedError: the version was used, and the history
            no longer has its sheet.
          errors.SheetError: the sheet is invalid; holds every finding.
          errors.ControlUnreachableError: no control host responded in time.
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
        """Returns every member host."""
        return decode_hosts(await self.send_request("GET", "/v1/hosts"))

    async def drain(self, host: ids.HostId) -> None:
        """Asks a host to leave.

        Raises:
          errors.OperatorRefusedError: the host is unknown.
        """
        await self.send_request("POST", f"/v1/hosts/{host}/drain")

    async def in_force(
        self, revision: ids.Revision, wait_seconds: float
    ) -> RolloutStatus:
        """Returns the rollout of a revision, waiting for it to complete.

        Args:
          revision: the revision.
          wait_seconds: maximum seconds to wait.
        """
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
        """Returns the JSON response of the first control host that responds.

        Raises:
          errors.MangobayError: the error in the response, or no control host
            responded in time.
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
        """Returns the JSON response of one control host.

        Raises:
          NoResponseError: another control host must be tried.
          errors.MangobayError: the error in the response.
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
        """Returns the addresses, the one that responded last first."""
        return sorted(
            self.addresses,
            key=lambda address: address != self.preferred_address,
        )


def decode_hosts(document: dict) -> list[Host]:
    """Returns the hosts in a JSON response."""
    return [decode_record(Host, item) for item in document.get("hosts", [])]


async def decode_response(
    response: aiohttp.ClientResponse, query: dict[str, str]
) -> dict:
    """Returns the JSON object of a successful response.

    Raises:
      errors.MangobayError: the error that the response describes.
    """
    try:
        document = await response.json(content_type=None)
    except ValueError:
        document = None
    if not isinstance(document, dict):
        raise errors.OperatorProtocolError(
            f"the body of the control host's response with status"
            f" {response.status} is not a JSON object"
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
