"""The operators' commands that list and release quarantined requests."""

import getpass

from mangobay import commands, display, errors, ids, quarantineadmin

SERVICE_ARGUMENT = {
    "metavar": "SERVICE",
    "help": "name of the service whose backend servers the request ends",
}


def path_of(service: str) -> str:
    """Returns the path of a service's quarantine.

    Raises:
      errors.BadRequestError: no service can have this name.
    """
    if not service or "/" in service:
        raise errors.BadRequestError(f"{service!r} is not a service name")
    return f"/v1/services/{service}/quarantine"


def format_unreached(unreached: list[ids.HostId]) -> list[str]:
    """Returns a line that names the nodes that were not reached, if any."""
    return [f"not reached: {', '.join(unreached)}"] if unreached else []


def exit_code_for(unreached: list[ids.HostId]) -> commands.ExitCode:
    """Returns the exit code of a command that asks all nodes."""
    return commands.ExitCode.NOT_IN_FORCE if unreached else commands.ExitCode.OK


class ShowQuarantine(commands.Command):
    """Lists the suspected and quarantined requests of a service."""

    name = "quarantine"
    help = "list the requests under which backend servers of a service ended"
    arguments = {"service": SERVICE_ARGUMENT}

    async def run(self, arguments, client):
        """Asks a control host, which asks the nodes of the service."""
        data = await client.send_request("GET", path_of(arguments.service))
        lines = display.format_table(
            ("request", "ends", "tests", "next test", "nodes"),
            [
                (
                    request["request"],
                    request["ends"],
                    request["tests"],
                    f"{request['test_in_ms'] / 1000:.1f} s",
                    f"{request['nodes']} of {data['asked']}",
                )
                for request in data["requests"]
            ],
        )
        unreached = data["unreached"]
        return commands.Result(
            data, lines + format_unreached(unreached), exit_code_for(unreached)
        )


class ReleaseRequest(commands.Command):
    """Releases a quarantined request."""

    name = "release"
    help = "let a quarantined request run again, at all nodes of its service"
    arguments = {
        "service": SERVICE_ARGUMENT,
        "request": {
            "metavar": "DIGEST",
            "help": "digest of the request, from the logs or `quarantine`",
        },
    }

    async def run(self, arguments, client):
        """Asks a control host, which tells the nodes of the service."""
        digest = quarantineadmin.parse_digest(arguments.request).hex()
        data = await client.send_request(
            "POST",
            f"{path_of(arguments.service)}/{digest}/release",
            {"operator": getpass.getuser()},
        )
        unreached = data["unreached"]
        line = f"{digest} released at {data['nodes']} nodes"
        return commands.Result(
            data, [line, *format_unreached(unreached)], exit_code_for(unreached)
        )


COMMANDS: tuple[type[commands.Command], ...] = (ShowQuarantine, ReleaseRequest)
