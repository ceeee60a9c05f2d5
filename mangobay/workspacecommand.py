"""The operators' command that shows workspaces, from metrics pages."""

import collections
import dataclasses

import aiohttp
from prometheus_client import parser

from mangobay import commands, display, errors, options

TIMEOUT_SECONDS = 5.0
"""Seconds to wait for one metrics page."""


@dataclasses.dataclass(slots=True)
class WorkspaceUsage:
    """What one workspace may use, and what became of its requests.

    Attributes:
      rate: requests per second that its quota allows; 0: it has none.
      burst: requests that it allows at once.
      results: number of requests by result, at all nodes asked.
      tokens: decisions on its quota, at all control hosts asked.
    """

    rate: float = 0.0
    burst: float = 0.0
    results: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    tokens: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


async def fetch_page(
    session: aiohttp.ClientSession, address: options.Address
) -> str:
    """Returns the metrics page of a process.

    Raises:
      errors.MetricsUnavailableError: it does not serve one.
    """
    try:
        async with session.get(f"http://{address}/metrics") as response:
            return await response.text()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise errors.MetricsUnavailableError(str(address), str(error)) from None


def add_page(usage: dict[str, WorkspaceUsage], page: str) -> None:
    """Adds the metrics of one process."""
    for family in parser.text_string_to_metric_families(page):
        for sample in family.samples:
            name = sample.labels.get("workspace")
            if name is None:
                continue
            workspace = usage.setdefault(name, WorkspaceUsage())
            match sample.name:
                case "mangobay_control_quota_rate":
                    workspace.rate = sample.value
                case "mangobay_control_quota_burst":
                    workspace.burst = sample.value
                case "mangobay_control_quota_tokens_total":
                    decision = sample.labels["decision"]
                    workspace.tokens[decision] += int(sample.value)
                case "mangobay_workspace_requests_total":
                    result = sample.labels["result"]
                    workspace.results[result] += int(sample.value)


def format_usage(usage: dict[str, WorkspaceUsage]) -> list[str]:
    """Returns the lines of a table of workspaces."""
    titles = ("workspace", "rate", "burst", "granted", "reserve", "denied")
    titles += ("unused", "answered", "over quota", "refused", "failed")
    return display.format_table(
        titles,
        [
            (
                name,
                f"{workspace.rate:g}" if workspace.rate else "-",
                f"{workspace.burst:g}" if workspace.rate else "-",
                workspace.tokens["granted"],
                workspace.tokens["reserve"],
                workspace.tokens["denied"],
                workspace.tokens["returned"],
                workspace.results["answered"],
                workspace.results["over_quota"],
                workspace.results["refused"],
                workspace.results["failed"],
            )
            for name, workspace in sorted(usage.items())
        ],
    )


class ShowWorkspaces(commands.Command):
    """Shows the workspaces with their quotas and their requests."""

    name = "workspaces"
    help = "show quotas of workspaces, and what became of their requests"
    arguments = {
        "addresses": {
            "metavar": "IP:PORT",
            "nargs": "+",
            "type": commands.parse_address,
            "help": "metrics address of a control host or node; give every"
            " one's, since each counts for itself",
        },
    }
    asks_control = False

    async def run(self, arguments, client):
        """Reads the metrics pages and sums them up."""
        usage: dict[str, WorkspaceUsage] = {}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for address in arguments.addresses:
                add_page(usage, await fetch_page(session, address))
        data = {
            name: {
                "rate": workspace.rate,
                "burst": workspace.burst,
                "tokens": dict(workspace.tokens),
                "requests": dict(workspace.results),
            }
            for name, workspace in sorted(usage.items())
        }
        return commands.Result(data, format_usage(usage))


COMMANDS: tuple[type[commands.Command], ...] = (ShowWorkspaces,)
