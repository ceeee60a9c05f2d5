"""A plain forwarder for comparison: no admission, fixed tries per hop."""

import argparse
import asyncio
import random

import aiohttp
from aiohttp import web

from bench import serving, sessions
from mangobay import ids, options

HOP_BY_HOP = frozenset(
    {"host", "connection", "keep-alive", "transfer-encoding", "content-length"}
)
BAD_GATEWAY = 502


class Forwarder:
    """Sends /SERVICE/path to a backend server of the service.

    Attributes:
      backends: addresses by service.
      tries: extra tries after no answer or a status of 500 and above.
    """

    def __init__(
        self,
        backends: dict[ids.ServiceName, list[options.Address]],
        tries: int,
        seed: int,
    ):
        self.backends = backends
        self.tries = tries
        self.random = random.Random(seed)
        self.session = sessions.open_session()

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Forwards one request."""
        service, _, rest = request.path_qs[1:].partition("/")
        known = self.backends.get(ids.ServiceName(service))
        if known is None:
            return web.Response(status=404)
        body = await request.read()
        headers = copied(request.headers)
        for _ in range(1 + self.tries):
            url = f"http://{self.random.choice(known)}/{rest}"
            answer = await self.forward(request.method, url, headers, body)
            if answer.status < 500:
                break
        return answer

    async def forward(self, method, url, headers, body) -> web.Response:
        """Returns the answer of one backend server."""
        try:
            async with self.session.request(
                method,
                url,
                headers=headers,
                data=body or None,
                allow_redirects=False,
            ) as response:
                return web.Response(
                    status=response.status,
                    headers=copied(response.headers),
                    body=await response.read(),
                )
        except (aiohttp.ClientError, TimeoutError):
            return web.Response(status=BAD_GATEWAY)


def copied(headers) -> dict[str, str]:
    """Returns the headers that go on to the next hop."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP
    }


def backend_of(text: str) -> tuple[ids.ServiceName, options.Address]:
    """Returns service and address out of `SERVICE=IP:PORT`."""
    service, _, address = text.partition("=")
    return ids.ServiceName(service), options.parse_address(address)


async def serve(arguments) -> None:
    """Serves until SIGTERM."""
    backends: dict[ids.ServiceName, list[options.Address]] = {}
    for service, address in arguments.backend:
        backends.setdefault(service, []).append(address)
    forwarder = Forwarder(backends, arguments.tries, arguments.seed)
    async with serving.listening(
        forwarder.handle, *arguments.listen
    ) as stopping:
        await stopping.wait()
    await forwarder.session.close()


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--listen",
        type=options.parse_address,
        required=True,
        action="append",
        help="may be given several times",
    )
    parser.add_argument("--tries", type=int, default=0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("backend", nargs="+", type=backend_of)
    return parser


if __name__ == "__main__":
    asyncio.run(serve(make_parser().parse_args()))
