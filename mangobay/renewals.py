"""What a lease renewal reports, and what the node needs in the grant."""

import dataclasses
import typing

from mangobay import clock, ids, statemachine, views
from mangobay.generated import messages


def make_member_change(renewal: messages.LeaseRenew) -> messages.MemberChange:
    """Returns the log entry for the member data in a renewal."""
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
    """Returns the services that the process has not served before."""
    served = {item.name for item in change.serves}
    if record is not None and statemachine.is_same_process(
        record, change.member
    ):
        served -= {item.name for item in record.serves}
    return served


def without_services(
    change: messages.MemberChange, services: set[ids.ServiceName]
) -> messages.MemberChange:
    """Returns the change without some of the served services."""
    kept = [item for item in change.serves if item.name not in services]
    return dataclasses.replace(change, serves=kept)


def relevant_services(
    machine: statemachine.ConfigStateMachine, renewal: messages.LeaseRenew
) -> set[ids.ServiceName]:
    """Returns the services whose views the node needs.

    A service that the node no longer serves is included as long as the node
    uses a view of it, since it has to learn that it is no longer a member.
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
    """Returns the row changes that the node needs."""
    return machine.update_since(
        renewal.revision, renewal.interests, renewal.new_interests
    )


@dataclasses.dataclass(slots=True)
class ViewUpdate:
    """The changes of views in one grant.

    Attributes:
      full_views: views that replace those of the node.
      steps: steps from the node's views to newer ones.
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
    """Returns the changes to the views that a node uses.

    Only the members of a view are told that it became active, since only they
    act on it. Otherwise every caller would get each view twice.

    Args:
      machine: the replicated state machine.
      active: services whose newest view is active.
      renewal: the node's renewal.
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
    """Yields the views to send to a node, and its acks of older ones."""
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
      the steps, or None if the node has no older view, the steps are not kept,
      the node needs former views that it does not have, or there are more
      steps than members in the view.
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
    """Returns whether the node may own slots under a view."""
    if renewal.keyless:
        return False
    return any(member.host == renewal.host for member in view.members)


def view_for_node(
    renewal: messages.LeaseRenew, view: messages.ServiceView, active: bool
) -> messages.ServiceView:
    """Returns a view as it is sent to the node.

    Only members take over slots and so need the former views. For the many
    callers of a service they would be most of the bytes of each update.
    """
    if not may_own_slots(renewal, view):
        view = views.without_former_views(view)
    return dataclasses.replace(view, active=active)


def newer_routes(
    machine: statemachine.ConfigStateMachine, renewal: messages.LeaseRenew
) -> messages.RoutesChange:
    """Returns the routes document, an empty one if the node has it.

    Nodes check requests by digests of the keys, and get no keys.
    """
    if renewal.routes >= machine.routes.version:
        return messages.RoutesChange()
    return dataclasses.replace(machine.routes, credentials=b"", quotas=[])


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
    """Returns whether a grant would contain anything new for the node."""
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
