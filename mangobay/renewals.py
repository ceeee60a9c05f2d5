"""What a renewal says of its node, and what the node lacks."""

import dataclasses
import typing

from mangobay import clock, ids, statemachine, views
from mangobay.generated import messages


def make_member_change(renewal: messages.LeaseRenew) -> messages.MemberChange:
    """Returns the entry that says the same as the renewal."""
    member = messages.Member(
        host=renewal.host,
        incarnation=renewal.incarnation,
        data_centre=renewal.data_centre,
        peer_address=renewal.peer_address,
        leaving=renewal.leaving,
    )
    return messages.MemberChange(
        member=member,
        serves=sorted(renewal.serves, key=lambda item: item.name),
        accepted_ms=clock.unix_ms(),
    )


def newly_served(
    record: messages.MemberRecord | None, change: messages.MemberChange
) -> set[ids.ServiceName]:
    """Returns the services that a process has not served so far."""
    served = {item.name for item in change.serves}
    if record is not None and statemachine.is_same_process(
        record, change.member
    ):
        served -= {item.name for item in record.serves}
    return served


def without_services(
    change: messages.MemberChange, services: set[ids.ServiceName]
) -> messages.MemberChange:
    """Returns the change of a process that does not serve some services."""
    kept = [item for item in change.serves if item.name not in services]
    return dataclasses.replace(change, serves=kept)


def relevant_services(
    machine: statemachine.ConfigStateMachine, renewal: messages.LeaseRenew
) -> set[ids.ServiceName]:
    """Returns the services whose views concern the node.

    A service that it no longer serves stays among them as long as it acts
    by a view of it: it has to learn that it is out.
    """
    services = {ids.ServiceName(name) for name in renewal.interests}
    if renewal.every_service:
        services.update(machine.views)
    services.update(served.name for served in renewal.serves)
    services.update(ack.service for ack in renewal.views)
    return services


def make_table_update(
    machine: statemachine.ConfigStateMachine, renewal: messages.LeaseRenew
) -> messages.TableUpdate:
    """Returns the rows that the node lacks."""
    return machine.update_since(
        renewal.revision, renewal.interests, renewal.new_interests
    )


@dataclasses.dataclass(slots=True)
class ViewUpdate:
    """What a node is told of views.

    Attributes:
      full_views: views in place of those that it acts by.
      steps: the way to others from those that it acts by.
    """

    full_views: list[messages.ServiceView] = dataclasses.field(
        default_factory=list
    )
    steps: list[messages.ViewSteps] = dataclasses.field(default_factory=list)


def make_view_update(
    machine: statemachine.ConfigStateMachine,
    active: set[ids.ServiceName],
    renewal: messages.LeaseRenew,
) -> ViewUpdate:
    """Returns what has changed in the views that a node acts by.

    Only its members are told that a view has become active, for they alone
    act on it; each view would otherwise go to all its callers twice.

    Args:
      machine: the replicated state.
      active: services whose newest view is active.
      renewal: of the node.
    """
    update = ViewUpdate()
    for view, ack in outdated_views(machine, active, renewal):
        is_active = view.service in active
        steps = find_steps(machine, renewal, view, ack)
        if steps is None:
            update.full_views.append(view_for_node(renewal, view, is_active))
        else:
            update.steps.append(
                messages.ViewSteps(
                    service=view.service,
                    base=ack.version,
                    steps=steps,
                    active=is_active,
                )
            )
    return update


def outdated_views(
    machine: statemachine.ConfigStateMachine,
    active: set[ids.ServiceName],
    renewal: messages.LeaseRenew,
) -> typing.Iterator[tuple[messages.ServiceView, messages.ViewAck | None]]:
    """Yields the views that a node has to be told of, and what it acts by."""
    acks = {ack.service: ack for ack in renewal.views}
    for service in sorted(relevant_services(machine, renewal)):
        view = machine.views.get(service)
        if view is None:
            continue
        ack = acks.get(service)
        is_old = ack is None or ack.version < view.version
        became_active = not is_old and service in active and not ack.active
        if is_old or (became_active and may_own_slots(renewal, view)):
            yield view, ack


def find_steps(
    machine: statemachine.ConfigStateMachine,
    renewal: messages.LeaseRenew,
    view: messages.ServiceView,
    ack: messages.ViewAck | None,
) -> list[messages.ViewStep] | None:
    """Returns the steps from a node's view to the newest.

    Returns:
      None where there are none, they are not known, lead to former views that
      the node does not hold, or are no shorter than the whole view.
    """
    if ack is None or ack.version == view.version:
        return None
    if may_own_slots(renewal, view) and not ack.member:
        return None
    steps = machine.view_steps.since(view.service, ack.version)
    if steps is None:
        return None
    if renewal.keyless:
        steps = views.latest_step_per_host(steps)
    return steps if len(steps) <= len(view.members) else None


def may_own_slots(
    renewal: messages.LeaseRenew, view: messages.ServiceView
) -> bool:
    """Returns whether the node may own keys by a view."""
    if renewal.keyless:
        return False
    return any(member.host == renewal.host for member in view.members)


def view_for_node(
    renewal: messages.LeaseRenew, view: messages.ServiceView, active: bool
) -> messages.ServiceView:
    """Returns a view as the node needs it.

    Only members take slots over and ask who was a member before. To the many
    who call the service the former views would be most of every push.
    """
    if not may_own_slots(renewal, view):
        view = views.without_former_views(view)
    return dataclasses.replace(view, active=active)


def newer_routes(
    machine: statemachine.ConfigStateMachine, renewal: messages.LeaseRenew
) -> messages.RoutesChange:
    """Returns the routes document where the node has an older one."""
    if renewal.routes >= machine.routes.version:
        return messages.RoutesChange()
    return machine.routes


def is_drain_requested(
    machine: statemachine.ConfigStateMachine, renewal: messages.LeaseRenew
) -> bool:
    """Returns whether an operator asked the node to leave."""
    return renewal.host in machine.draining


def has_update(
    machine: statemachine.ConfigStateMachine,
    active: set[ids.ServiceName],
    renewal: messages.LeaseRenew,
) -> bool:
    """Returns whether an answer would tell the node anything new."""
    if renewal.new_interests:
        return True
    if is_drain_requested(machine, renewal) and not renewal.leaving:
        return True
    if newer_routes(machine, renewal).version:
        return True
    if any(outdated_views(machine, active, renewal)):
        return True
    update = make_table_update(machine, renewal)
    return bool(update.changed or update.removed)
