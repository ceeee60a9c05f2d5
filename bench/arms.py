"""What is compared: ways to protect the same backend servers."""

import dataclasses

from bench import cluster

PLAIN = "plain forwarder, 3 tries a hop"
FIXED = "fixed limit"
WHOLE = "mangobay"

Changes = dict[str, dict[str, object]]
"""Keys of the nodes' settings by section."""


@dataclasses.dataclass(frozen=True, slots=True)
class Arm:
    """One of the ways compared.

    Attributes:
      name: for the report.
      changes: to the settings of the nodes.
      processes: what stands beside each backend server.
    """

    name: str
    changes: Changes = dataclasses.field(default_factory=dict)
    processes: type[cluster.Cluster] = cluster.Cluster


def admission_without(**keys) -> Changes:
    """Returns changes of the section [admission]."""
    return {"admission": keys}


def routing_without(**keys) -> Changes:
    """Returns changes of the section [routing]."""
    return {"routing": keys}


MAIN = (
    Arm(PLAIN, processes=cluster.PlainCluster),
    Arm(
        FIXED,
        {
            "admission": {
                "policy": "fixed",
                "order": "oldest",
                "by_importance": "no",
                "by_depth": "no",
                "early_refusal": "no",
            },
            "retries": {"client_share": 0},
        },
    ),
    Arm(WHOLE),
)
FEATURES = (
    Arm("not by importance", admission_without(by_importance="no")),
    Arm("not by depth", admission_without(by_depth="no")),
    Arm("oldest first", admission_without(order="oldest")),
    Arm("no early refusal", admission_without(early_refusal="no")),
    Arm("limit not adaptive", admission_without(policy="fixed")),
    Arm("no tries of a hop", {"retries": {"hop_tries": 0}}),
    Arm("no retry ratio", {"retries": {"ratio": 10, "burst": 100000}}),
    Arm("clients not compared", {"retries": {"client_share": 0}}),
    Arm("random host", routing_without(policy="random")),
    Arm("not local first", routing_without(local_first="no")),
    Arm("no ejection", routing_without(eject_after=0)),
    Arm("no slow start", routing_without(slow_start=0)),
    Arm("recovery weight 0", {"recovery": {"weight": 0}}),
    Arm("recovery weight 1", {"recovery": {"weight": 1}}),
)
"""mangobay with one feature off, or one weight changed."""
SETS = {"main": MAIN, "features": FEATURES, "all": MAIN + FEATURES}
