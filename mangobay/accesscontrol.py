"""Decides whether a request may enter: by its key, and by its quota."""

import collections.abc
import typing

from mangobay import calls, ids, quotaclient, routes, workspacedirectory
from mangobay.generated import messages

Reason = messages.Reason

STALE_RETRY_AFTER_SECONDS = 0.5
"""Retry-After in seconds while the routes document may be outdated."""
QUOTA_WAIT_SHARE = 0.25
"""Share of the target latency that a request may wait for its quota."""


class DocumentLease(typing.Protocol):
    """The part of `lease.DocumentLease` that access control uses."""

    def age(self) -> float:
        """Returns the seconds since the last confirmation, inf without one."""

    def is_current(self) -> bool:
        """Returns whether requests may be refused for good by the document."""

    def is_valid(self) -> bool:
        """Returns whether the document may be used for requests with keys."""


class QuotaClient(typing.Protocol):
    """The part of `quotaclient.QuotaClient` that access control uses."""

    async def ask(
        self, workspace: ids.WorkspaceName, max_wait: float
    ) -> quotaclient.Decision:
        """Returns the decision on one request of a workspace."""

    def give_back(
        self, workspace: ids.WorkspaceName, decision: quotaclient.Decision
    ) -> None:
        """Gives back the token of a request that did not run."""


class AccessControl:
    """Finds the workspace of a request and asks for its token.

    Attributes:
      document_lease: how long the routes document may be used.
      quota_client: asks the control hosts for tokens.
    """

    def __init__(
        self, document_lease: DocumentLease, quota_client: QuotaClient
    ):
        self.document_lease = document_lease
        self.quota_client = quota_client

    def authenticate(
        self,
        table: routes.RouteTable,
        route: routes.Route,
        header_values: collections.abc.Sequence[str],
    ) -> workspacedirectory.Workspace | None:
        """Returns the workspace of a request, None if it needs none.

        Args:
          table: the routes in force.
          route: the route of the request.
          header_values: the values of its Authorization headers.

        Raises:
          calls.RequestError: the request needs a key and has no valid one, or
            it is not known for certain which keys are valid.
        """
        if table.directory is None:
            return None
        if route.public:
            return table.directory.find(header_values)
        # Not 401, which callers never send again: the key may be a new one.
        if not self.document_lease.is_valid():
            raise calls.RequestError(
                Reason.OUTDATED_ROUTES,
                "the control group has not confirmed the keys for too long",
                STALE_RETRY_AFTER_SECONDS,
            )
        workspace = table.directory.find(header_values)
        if workspace is None:
            self.check_current()
            raise calls.RequestError(
                Reason.UNAUTHENTICATED, "no workspace has the key"
            )
        return workspace

    def check_current(self) -> None:
        """Checks that a request may be refused for good by the routes in force.

        Raises:
          calls.RequestError: a newer document may allow it, so that the caller
            is told to come again.
        """
        if not self.document_lease.is_current():
            raise calls.RequestError(
                Reason.OUTDATED_ROUTES,
                "the control group has not confirmed the routes of late",
                STALE_RETRY_AFTER_SECONDS,
            )

    async def acquire_token(
        self,
        workspace: workspacedirectory.Workspace,
        route: routes.Route,
        seconds_waited: float,
    ) -> quotaclient.Decision | None:
        """Waits for the token of a request; returns None if it needs none.

        Args:
          workspace: the workspace of the request.
          route: its route.
          seconds_waited: seconds that the caller has waited before.

        Raises:
          calls.RequestError: the quota is used up, or nobody could be asked.
        """
        if not workspace.rate:
            return None
        decision = await self.quota_client.ask(
            workspace.name,
            route.target_latency * QUOTA_WAIT_SHARE,
            late=seconds_waited >= route.target_latency,
        )
        match decision.verdict:
            case quotaclient.Verdict.DENIED:
                raise calls.RequestError(
                    Reason.QUOTA_EXCEEDED,
                    "the workspace has used up its quota",
                    decision.retry_after,
                    workspace.name,
                )
            case quotaclient.Verdict.UNKNOWN:
                raise calls.RequestError(
                    Reason.QUOTA_UNKNOWN,
                    "no control host could say whether the quota allows it",
                    decision.retry_after,
                    workspace.name,
                )
        return decision

    def give_back(
        self,
        workspace: workspacedirectory.Workspace,
        decision: quotaclient.Decision,
    ) -> None:
        """Gives back the token of a request that did not run."""
        self.quota_client.give_back(workspace.name, decision)
