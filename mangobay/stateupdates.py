"""Acts on what is learned about the backend server on this host."""

import asyncio
import collections.abc

from mangobay import backend, ids, knownstates, localservices, logs
from mangobay.generated import messages

MISDIRECTED_STATUS = 421
"""Status of a response by another backend server than the called one."""

RetireBackend = collections.abc.Callable[[localservices.Announcement], None]


class ServerStateUpdater:
    """Applies states of backend servers to admission and announcements.

    Attributes:
      local_services: the services of the backend server on this host.
      retire: stops using a backend server that says that it is leaving.
    """

    def __init__(self, local_services: localservices.LocalServices):
        self.local_services = local_services
        self.retire: RetireBackend = self.withdraw

    def withdraw(self, announcement: localservices.Announcement) -> None:
        """Removes a service until it is announced again."""
        self.local_services.withdraw(announcement.service)

    def observe(
        self,
        local_service: localservices.LocalService,
        response: backend.Response,
    ) -> None:
        """Acts on what a response says about the backend server."""
        state = response.server_state
        if state is None or response.status == MISDIRECTED_STATUS:
            return
        now = asyncio.get_running_loop().time()
        sent_at = now - response.seconds
        if local_service.state_tracker.observe(state, sent_at, now):
            self.apply(local_service)

    def adopt(
        self, local_service: localservices.LocalService, call: messages.Call
    ) -> None:
        """Acts on what the sender of a call knows of the backend server."""
        incarnation = local_service.announcement.incarnation
        for message in call.server_states:
            state = knownstates.from_message(message)
            if (
                message.incarnation == incarnation
                and local_service.state_tracker.adopt(state)
            ):
                self.apply(local_service)

    def apply(self, local_service: localservices.LocalService) -> None:
        """Applies a changed state of the backend server."""
        state = local_service.state_tracker.current
        announcement = local_service.announcement
        logs.log_event(
            logs.Component.NODE,
            "backend server changes its state",
            service=announcement.service,
            instance=announcement.instance,
            rate_limit=state.rate_limit,
            leaving=state.leaving,
        )
        local_service.admission.set_rate_limit(state.rate_limit)
        if state.leaving:
            self.retire(announcement)

    def states_to_tell(
        self,
        service: ids.ServiceName,
        local_service: localservices.LocalService | None,
    ) -> list[messages.ServerState]:
        """Returns the state for a reply: of the server here, or that left."""
        if local_service is not None:
            return knownstates.to_messages(
                local_service.announcement.incarnation,
                local_service.state_tracker.current,
            )
        incarnation = self.local_services.retired.get(service)
        if incarnation is None:
            return []
        return knownstates.to_messages(incarnation, backend.LEAVING_STATE)
