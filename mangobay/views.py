"""Membership views of services, and the steps from one view to the next.

A view is a versioned list of the hosts that serve a service. A step adds,
changes or removes one member and so makes the next view.
"""

import collections
import collections.abc
import dataclasses

from mangobay import ids
from mangobay.generated import messages

MAX_FORMER_VIEWS = 8
"""Former views kept with a view.

The new owner of a slot must reach a member of each view since the last owner
that knew all of the slot's keys. With more changes than this in between, it
gives up and replies `unknown` to older keys.
"""

MIN_RETAINED_STEPS = 16
"""Steps kept for a service, however few members it has."""

RETAINED_STEPS_PER_MEMBER = 2
"""Further steps kept per member; more would be no shorter than a full view."""


def make_lineage(old: messages.ServiceView) -> list[messages.FormerView]:
    """Returns the former views of the view that succeeds the old one.

    When all members of a service have died, later members still have to know
    that keys may have run before: without a former view they would run a
    repeated booking again. A view without members is left out, since no key
    can have run under it.
    """
    if not old.members:
        return old.formers
    newest = messages.FormerView(version=old.version, members=old.members)
    return [newest, *old.formers]


def former_members(view: messages.ServiceView) -> list[messages.Member]:
    """Returns the members of the view before this one."""
    return view.formers[0].members if view.formers else []


def apply_to_members(
    members: list[messages.Member], step: messages.ViewStep
) -> list[messages.Member]:
    """Returns the members after a step, ordered by host."""
    result = [item for item in members if item.host != step.member.host]
    if not step.gone:
        result.append(step.member)
        result.sort(key=lambda item: item.host)
    return result


def apply_step(
    old: messages.ServiceView, step: messages.ViewStep
) -> messages.ServiceView:
    """Returns the view that a step makes of an old one."""
    lineage = make_lineage(old)
    return messages.ServiceView(
        service=old.service,
        version=step.version,
        members=apply_to_members(old.members, step),
        formers=lineage[:MAX_FORMER_VIEWS],
        lineage_whole=len(lineage) <= MAX_FORMER_VIEWS
        and (old.lineage_whole or not old.version),
    )


def without_former_views(view: messages.ServiceView) -> messages.ServiceView:
    """Returns the view without its former views."""
    return dataclasses.replace(view, formers=[], lineage_whole=False)


def latest_step_per_host(
    steps: list[messages.ViewStep],
) -> list[messages.ViewStep]:
    """Returns the last step of each host, ordered by version.

    They lead to the same members as all the steps.
    """
    newest = {step.member.host: step for step in steps}
    return sorted(newest.values(), key=lambda step: step.version)


def is_newer(view: messages.ServiceView, old: messages.ServiceView) -> bool:
    """Returns whether the view is newer, or newly active."""
    if view.version == old.version:
        return view.active and not old.active
    return view.version > old.version


def apply_steps(
    view: messages.ServiceView,
    update: messages.ViewSteps,
    keep_former_views: bool,
) -> messages.ServiceView:
    """Returns the view that an update's steps make of an older one."""
    for step in update.steps:
        view = apply_step(view, step)
    if not keep_former_views:
        view = without_former_views(view)
    return dataclasses.replace(view, active=update.active)


def merge_views(
    current: dict[ids.ServiceName, messages.ServiceView],
    full_views: list[messages.ServiceView],
    steps: list[messages.ViewSteps],
    may_own_slots: collections.abc.Callable[[messages.ServiceView], bool],
) -> dict[ids.ServiceName, messages.ServiceView]:
    """Returns a node's views after an update from the control group.

    Args:
      current: the views before the update.
      full_views: views that replace older ones.
      steps: steps from current views to newer ones.
      may_own_slots: returns whether the node may own slots under a view, and
        so keeps its former views.
    """
    result = dict(current)
    for view in full_views:
        current_view = result.get(view.service)
        # A new leader may not know yet that a view is active. The node
        # then keeps its own view.
        if current_view is None or is_newer(view, current_view):
            result[view.service] = view
    for update in steps:
        current_view = result.get(update.service)
        # Steps from another base are the reply to an older renewal.
        if current_view is not None and current_view.version == update.base:
            result[update.service] = apply_steps(
                current_view, update, may_own_slots(current_view)
            )
    return result


class StepHistory:
    """The most recent steps of each service's view.

    Attributes:
      by_service: steps by service, oldest first.
      base_versions: by service, the view version before the oldest kept step.
    """

    def __init__(self):
        self.by_service: dict[
            ids.ServiceName, collections.deque[messages.ViewStep]
        ] = {}
        self.base_versions: dict[ids.ServiceName, ids.ViewVersion] = {}

    def reset(self, views: dict[ids.ServiceName, messages.ServiceView]) -> None:
        """Discards all steps, because a snapshot replaced the views."""
        self.by_service = {service: collections.deque() for service in views}
        self.base_versions = {
            name: view.version for name, view in views.items()
        }

    def add(
        self,
        service: ids.ServiceName,
        step: messages.ViewStep,
        member_count: int,
    ) -> None:
        """Adds the step to a view that has `member_count` members."""
        steps = self.by_service.setdefault(service, collections.deque())
        self.base_versions.setdefault(service, ids.ViewVersion(0))
        steps.append(step)
        while (
            len(steps)
            > MIN_RETAINED_STEPS + RETAINED_STEPS_PER_MEMBER * member_count
        ):
            self.base_versions[service] = steps.popleft().version

    def since(
        self, service: ids.ServiceName, base: ids.ViewVersion
    ) -> list[messages.ViewStep] | None:
        """Returns the steps after a version, None if they are not kept."""
        steps = []
        for step in reversed(self.by_service.get(service, ())):
            if step.version <= base:
                return steps[::-1] if step.version == base else None
            steps.append(step)
        return steps[::-1] if self.base_versions.get(service) == base else None
