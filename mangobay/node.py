"""A node with HTTP edges on `aiohttp`, idempotency keys and leases."""

import asyncio

from mangobay import (
    aiohttpbackend,
    basenode,
    edges,
    execution,
    httpserver,
    localapi,
    logs,
    supervision,
)


class Node(basenode.BaseNode):
    """One mangobay-node; attributes as in `basenode.BaseNode`."""

    def make_backend(self) -> None:
        """Creates the client of the local backend server, and the executor."""
        config = self.config
        self.backend = aiohttpbackend.Backend(
            config.backend.connections,
            config.backend.idle,
            config.limits.answer_bytes,
        )
        self.executor = execution.CallExecutor(
            self.process, self.local_services, self.backend, self.once
        )

    def make_edges(self) -> None:
        """Creates the edges and the two HTTP listeners."""
        config = self.config
        sample = config.trace.sample if config.trace.file else 0.0
        dependencies = (
            config.limits,
            self.control,
            self.dispatcher,
            self.executor,
            self.metrics,
            self.outcome_log,
            sample,
        )
        self.local_api = localapi.LocalApi(
            edges.LocalEdge(*dependencies),
            self.local_services,
            self.metrics,
            self,
        )
        self.outside_listener = self.make_listener(
            config.listen.outside, edges.OutsideEdge(*dependencies).handle
        )
        self.local_listener = self.make_listener(
            config.listen.local, self.local_api.handle
        )
        self.listeners = self.caller_listeners()

    def make_listener(self, address, handler) -> httpserver.Listener:
        """Returns an HTTP listener with the limits of the settings."""
        limits = self.config.limits
        return httpserver.Listener(
            address,
            handler,
            max_connections=limits.connections,
            head_timeout=limits.header_timeout,
        )

    def readiness(self) -> localapi.Readiness:
        """Returns whether the node is ready, and what is missing."""
        missing = []
        if not self.control.lease.is_valid():
            missing.append("lease")
        if self.executor.leaving:
            missing.append("the node is leaving")
        return localapi.Readiness(tuple(missing))

    async def start(self) -> None:
        """Opens the listeners and starts the background tasks.

        Raises:
          errors.StartError: an address cannot be used.
        """
        await self.peer_listener.start()
        await self.local_listener.start()
        await self.outside_listener.start()
        self.control.views.subscribe(self.router.update_views)
        self.control.views.subscribe(self.quarantine_exchange.update_views)
        self.control.views.subscribe(self.once.update_views)
        self.control.draining.subscribe(self.leave_if_draining)
        for job in (
            self.control.run,
            self.local_services.run_expiry,
            self.once.run_expiry,
            self.outcome_log.run,
        ):
            self.tasks.append(
                asyncio.create_task(supervision.keep_running(job))
            )
        logs.log_event(logs.Component.NODE, "started", host=self.process.host)

    async def leave(self) -> None:
        """Refuses new work, finishes the work in flight, hands keys over."""
        grace = self.config.leaving.grace
        logs.log_event(logs.Component.NODE, "leaving", grace=grace)
        self.executor.leaving = True
        self.control.leaving = True
        for listener in self.caller_listeners():
            listener.close_when_answered()
        schedule = self.executor.shutdown
        schedule.start(self.stop_requested_at, grace, linger=0)
        try:
            async with asyncio.timeout_at(schedule.abort_at):
                await self.wait_until_idle()
                keys_handed_over = await self.hand_over_keys()
                await self.wait_until_responses_sent()
        except TimeoutError:
            self.abort(f"still in flight after {grace:g} s")
            return
        logs.log_event(
            logs.Component.NODE,
            "left",
            host=self.process.host,
            keys_handed_over=keys_handed_over,
        )
        self.stopped.set()

    async def hand_over_keys(self) -> bool:
        """Hands keys over; returns False if no host can take them.

        Without the control group no view names a successor, and a planned stop
        of the whole system would wait for the full grace period.  A lease
        outlasts an election, so an expired lease means that control is
        unreachable.  The records of this node are with the holders of its
        copies.
        """
        handover_task = asyncio.create_task(self.once.finish_handover())
        try:
            while True:
                await asyncio.wait(
                    {handover_task}, timeout=basenode.IDLE_POLL_SECONDS
                )
                if handover_task.done():
                    handover_task.result()
                    return True
                if not self.control.lease.is_valid():
                    return False
        finally:
            handover_task.cancel()

    async def wait_until_idle(self) -> None:
        """Returns once no call or request is in flight."""
        while self.is_busy():
            await asyncio.sleep(basenode.IDLE_POLL_SECONDS)

    def caller_listeners(self) -> list[httpserver.Listener]:
        """Returns the listeners that accept calls."""
        return [self.outside_listener, self.local_listener]

    async def wait_until_responses_sent(self) -> None:
        """Returns once all responses are written.

        Keys are handed over before that, so a caller that reads slowly does not
        delay the handover.
        """
        listeners = (*self.caller_listeners(), self.peer_listener)
        while any(listener.pending_responses for listener in listeners):
            await asyncio.sleep(basenode.IDLE_POLL_SECONDS)

    async def close(self) -> None:
        """Closes listeners, tasks and connections."""
        await self.abort_in_flight()
        await self.close_listeners()
        self.undelivered_count += await self.peer_listener.close(
            self.write_timeout(), self.close_timeout()
        )
        await self.cancel_tasks()
        self.outcome_log.log_interval(is_final=True)
        await self.close_connections()
        self.tracer.close()
