"""Settings, members and views for the tests of routing and admission."""

from bench import nodesettings
from mangobay import ids, routing
from mangobay.generated import messages

QUOTES = ids.ServiceName("quotes")
LOCAL_DATA_CENTRE = ids.DataCentre("lima")
REMOTE_DATA_CENTRE = ids.DataCentre("trujillo")
SEED = 11

section = nodesettings.section


def member(
    host: str,
    data_centre: str = LOCAL_DATA_CENTRE,
    incarnation: str = "1",
    slots: int = 20,
) -> messages.Member:
    """Returns a host that serves quotes with this number of slots."""
    return messages.Member(
        host=ids.HostId(host),
        incarnation=ids.Incarnation(incarnation),
        data_centre=ids.DataCentre(data_centre),
        peer_address="127.0.0.1:1",
        slots=slots,
    )


def view(version: int, *members: messages.Member) -> dict:
    """Returns the views of a node that calls only quotes."""
    return {
        QUOTES: messages.ServiceView(
            service=QUOTES,
            version=ids.ViewVersion(version),
            members=list(members),
            active=True,
        )
    }


ANSWERED = routing.Observation(outcome=messages.Outcome.ANSWERED)
BROKEN = routing.Observation(
    outcome=messages.Outcome.UNKNOWN,
    reason=messages.Reason.CONNECTION_BROKEN,
)
