"""Histories of runs, made up."""

from bench.soak import history
from mangobay import ids

NODE, OTHER, CONTROL = (
    ids.HostId(name) for name in ("node-1", "node-2", "control-1")
)
SERVICE = ids.ServiceName("price")


def request(attempt="a", **changes):
    """Returns a request that was answered by a run at once."""
    facts = {
        "attempt": ids.AttemptId(attempt),
        "host": NODE,
        "service": SERVICE,
        "manner": "kept",
        "repeatable": False,
        "line": "GET /plain/10",
        "digest": "d",
        "seconds": 8.0,
        "timeout": 8.0,
        "connection": 1,
        "behind": False,
        "began": 100.0,
        "sent": 100.0,
        "ended": 100.1,
        "end": history.End.ANSWERED,
        "status": 200,
        "signature": "s",
        "named": attempt,
        "answer": "b",
    }
    return history.Request(**{**facts, **changes})


def cut(attempt="a", **changes):
    """Returns a request whose connection ended without an answer."""
    facts = {"status": 0, "signature": "", "named": "", "answer": ""}
    facts["end"] = history.End.CUT
    return request(attempt, **{**facts, **changes})


def refused(attempt="a", status=503, **changes):
    """Returns a request with a failure of the system's own."""
    facts = {"status": status, "signature": "", "named": "", "answer": ""}
    return request(attempt, **{**facts, **changes})


def arrival(attempt="a", **changes):
    """Returns a run that was answered."""
    facts = {
        "attempt": ids.AttemptId(attempt),
        "host": OTHER,
        "instance": ids.InstanceId("i-1"),
        "service": SERVICE,
        "line": "GET /plain/10",
        "caller": "basket",
        "seconds": 7.9,
        "at": 100.01,
        "digest": "d",
        "until": 100.05,
        "ended": 100.05,
        "outcome": history.Outcome.ANSWERED,
        "status": 200,
        "signature": "s",
        "answer": "b",
    }
    return history.Arrival(**{**facts, **changes})


def dropped(attempt="a", **changes):
    """Returns a run under which the connection ended."""
    facts = {"outcome": history.Outcome.DROPPED, "status": 0}
    facts |= {"until": 110.0, "ended": 100.1}
    return arrival(attempt, **{**facts, **changes})


def event(at, action, host=NODE, detail=""):
    """Returns an event of a process."""
    return history.Event(at=at, host=host, action=action, detail=detail)


def change(version, base, at=100.0, status=200, content="", flaw=None):
    """Returns a change that was answered at once."""
    return history.Change(
        version=version,
        base=base,
        host=CONTROL,
        sent=at,
        ended=at + 0.1,
        status=status,
        content=content,
        flaw=flaw,
    )


def reading(version, at, last=False, content=""):
    """Returns a configuration that was read back."""
    return history.Reading(
        host=CONTROL,
        sent=at,
        ended=at + 0.1,
        version=version,
        last=last,
        content=content,
    )


def probe(version, at, status, kept=False, moved=False):
    """Returns a request on the route of one version, or of several."""
    return history.Probe(
        attempt=ids.AttemptId(f"probe-{at}"),
        host=NODE,
        version=version,
        sent=at,
        kept=kept,
        moved=moved,
        ended=at + 0.1,
        status=status,
    )


def seen(**lists):
    """Returns a history."""
    services = {NODE: "basket", OTHER: SERVICE, CONTROL: ""}
    return history.History(services=services, **lists)
