"""How views of a service follow on each other, and the newest steps."""

import collections
import collections.abc
import dataclasses

from mangobay import ids
from mangobay.generated import messages

MOST_FORMERS = 8
"""Former views kept with a view.

A new owner of a slot must find a witness of each view since the last owner
that knew everything; with more changes than this in between it gives up and
answers `unknown` to older keys.
"""

FEWEST_STEPS = 16
"""Steps kept of a service, however few members it has."""

STEPS_A_MEMBER = 2
"""Steps kept for each member; a longer way is no shorter than a whole view."""


def lineage_of(old: messages.ServiceView) -> list[messages.FormerView]:
    """Returns the views that a view following on the old one comes after.

    When every member of a service died, the next ones still have to know that
    keys may have run before them: without a former view they would run a
    repeated booking again.  A view without members adds nothing to that.
    """
    if not old.members:
        return old.formers
    newest = messages.FormerView(version=old.version, members=old.members)
    return [newest, *old.formers]


def former_members(view: messages.ServiceView) -> list[messages.Member]:
    """Returns who was a member before the view."""
    return view.formers[0].members if view.formers else []


def members_after(
    members: list[messages.Member], step: messages.ViewStep
) -> list[messages.Member]:
    """Returns the members of a view after a step, ordered by host."""
    kept = [item for item in members if item.host != step.member.host]
    if not step.gone:
        kept.append(step.member)
        kept.sort(key=lambda item: item.host)
    return kept


def after(
    old: messages.ServiceView, step: messages.ViewStep
) -> messages.ServiceView:
    """Returns the view that follows on an old one by a step."""
    lineage = lineage_of(old)
    return messages.ServiceView(
        service=old.service,
        version=step.version,
        members=members_after(old.members, step),
        formers=lineage[:MOST_FORMERS],
        lineage_whole=len(lineage) <= MOST_FORMERS
        and (old.lineage_whole or not old.version),
    )


def without_formers(view: messages.ServiceView) -> messages.ServiceView:
    """Returns the view without those before it."""
    return dataclasses.replace(view, formers=[], lineage_whole=False)


def newest_by_host(
    steps: list[messages.ViewStep],
) -> list[messages.ViewStep]:
    """Returns the steps that lead to the same members by the shortest way."""
    newest = {step.member.host: step for step in steps}
    return sorted(newest.values(), key=lambda step: step.version)


def is_newer(view: messages.ServiceView, old: messages.ServiceView) -> bool:
    """Returns whether the view tells more than the old one."""
    if view.version == old.version:
        return view.active and not old.active
    return view.version > old.version


def stepped(
    view: messages.ServiceView, change: messages.ViewSteps, keeps_formers: bool
) -> messages.ServiceView:
    """Returns the view that follows on an older one by some steps."""
    for step in change.steps:
        view = after(view, step)
    if not keeps_formers:
        view = without_formers(view)
    return dataclasses.replace(view, active=change.active)


def merged(
    held: dict[ids.ServiceName, messages.ServiceView],
    whole: list[messages.ServiceView],
    steps: list[messages.ViewSteps],
    owns_by: collections.abc.Callable[[messages.ServiceView], bool],
) -> dict[ids.ServiceName, messages.ServiceView]:
    """Returns the views that a node holds after it was told of some.

    Args:
      held: before.
      whole: in place of older ones.
      steps: from the views held to others.
      owns_by: whether the node may own slots by a view, and so holds the
        former ones too.
    """
    result = dict(held)
    for view in whole:
        old = result.get(view.service)
        # A new leader does not know yet what is active; the node does.
        if old is None or is_newer(view, old):
            result[view.service] = view
    for change in steps:
        old = result.get(change.service)
        # Steps from another view than this one answer an older renewal.
        if old is not None and old.version == change.base:
            result[change.service] = stepped(old, change, owns_by(old))
    return result


class Steps:
    """The newest steps of each service's view.

    Attributes:
      kept: steps by service, oldest first.
      floors: by service, the version that the oldest kept step follows on.
    """

    def __init__(self):
        self.kept: dict[
            ids.ServiceName, collections.deque[messages.ViewStep]
        ] = {}
        self.floors: dict[ids.ServiceName, ids.ViewVersion] = {}

    def restart(
        self, views: dict[ids.ServiceName, messages.ServiceView]
    ) -> None:
        """Forgets all steps: the views were replaced by others."""
        self.kept = {service: collections.deque() for service in views}
        self.floors = {name: view.version for name, view in views.items()}

    def add(
        self,
        service: ids.ServiceName,
        step: messages.ViewStep,
        members: int,
    ) -> None:
        """Takes in the step to a view of so many members."""
        kept = self.kept.setdefault(service, collections.deque())
        self.floors.setdefault(service, ids.ViewVersion(0))
        kept.append(step)
        while len(kept) > FEWEST_STEPS + STEPS_A_MEMBER * members:
            self.floors[service] = kept.popleft().version

    def since(
        self, service: ids.ServiceName, base: ids.ViewVersion
    ) -> list[messages.ViewStep] | None:
        """Returns the steps from a version on; None where they are not kept."""
        found = []
        for step in reversed(self.kept.get(service, ())):
            if step.version <= base:
                return found[::-1] if step.version == base else None
            found.append(step)
        return found[::-1] if self.floors.get(service) == base else None
