"""Renewals of a node's lease that control hosts have not replied to."""

import asyncio
import collections.abc
import dataclasses

from mangobay import clock, options

MIN_WAIT_SECONDS = 0.001
"""Shortest wait. One below the clock's resolution would busy-wait."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingRenewal:
    """A renewal that a control host has not replied to.

    Attributes:
      task: waits for the reply; returns whether the node need not ask others.
      overdue_at: loop time from which the host may be asked again instead.
    """

    task: "asyncio.Task[bool]"
    overdue_at: float


class PendingRenewals:
    """The pending renewals of one node, at most one for each control host.

    Attributes:
      by_host: the pending renewals, by control host.
    """

    def __init__(self):
        self.by_host: dict[options.Address, PendingRenewal] = {}

    def __contains__(self, host: options.Address | None) -> bool:
        """Returns whether a control host has not replied yet."""
        return host in self.by_host

    def __bool__(self) -> bool:
        """Returns whether any renewal is pending."""
        return bool(self.by_host)

    def busy_hosts(self) -> set[options.Address]:
        """Returns the control hosts that may still reply in time."""
        now = clock.now()
        return {
            host
            for host, pending in self.by_host.items()
            if now < pending.overdue_at
        }

    def add(
        self,
        host: options.Address,
        coroutine: collections.abc.Coroutine[None, None, bool],
        seconds: float,
    ) -> None:
        """Starts a renewal that is overdue after some seconds."""
        self.by_host[host] = PendingRenewal(
            task=asyncio.create_task(coroutine),
            overdue_at=clock.now() + seconds,
        )

    async def wait(self, host: options.Address | None, until: float) -> bool:
        """Waits for replies.

        Args:
          host: returns once this host has replied; None to wait for a grant.
          until: returns at this loop time, at the latest.

        Returns:
          Whether one of the renewals succeeded; the others are abandoned then.
        """
        while (seconds := until - clock.now()) > MIN_WAIT_SECONDS:
            if not self.by_host:
                await asyncio.sleep(seconds)
                return False
            await asyncio.wait(
                [pending.task for pending in self.by_host.values()],
                timeout=seconds,
                return_when=asyncio.FIRST_COMPLETED,
            )
            replied = [
                address
                for address, pending in self.by_host.items()
                if pending.task.done()
            ]
            results = [
                self.by_host.pop(address).task.result() for address in replied
            ]
            if any(results):
                self.cancel_all()
                return True
            if host in replied:
                return False
        return False

    def cancel(self, host: options.Address) -> None:
        """Abandons the renewal at a control host."""
        self.by_host.pop(host).task.cancel()

    def cancel_all(self) -> None:
        """Abandons all renewals."""
        for host in list(self.by_host):
            self.cancel(host)
