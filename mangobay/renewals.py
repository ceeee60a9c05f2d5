"""What a renewal says of its node, and what the node lacks."""

import dataclasses
import typing

from mangobay import clock, ids, machine, views
from mangobay.generated import messages


def change_of(renewal: messages.LeaseRenew) -> messages.MemberChange:
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


def joins(
    record: messages.MemberRecord | None, change: messages.MemberChange
) -> set[ids.ServiceName]:
    """Returns the services that a process has not served so far."""
    served = {item.name for item in change.serves}
    if record is not None and machine.same_process(record, change.member):
        served -= {item.name for item in record.serves}
    return served


def without(
    change: messages.MemberChange, services: set[ids.ServiceName]
) -> messages.MemberChange:
    """Returns the change of a process that does not serve some services."""
    kept = [item for item in change.serves if item.name not in services]
    return dataclasses.replace(change, serves=kept)


def services_of(
    config: machine.ConfigMachine, renewal: messages.LeaseRenew
) -> set[ids.ServiceName]:
    """Returns the services whose views concern the node.

    A service that it no longer serves stays among them as long as it acts
    by a view of it: it has to learn that it is out.
    """
    services = {ids.ServiceName(name) for name in renewal.interests}
    if renewal.every_service:
        services.update(config.views)
    services.update(served.name for served in renewal.serves)
    services.update(ack.service for ack in renewal.views)
    return services


def table_update(
    config: machine.ConfigMachine, renewal: messages.LeaseRenew
) -> messages.TableUpdate:
    """Returns the rows that the node lacks."""
    return config.update_since(
        renewal.revision, renewal.interests, renewal.new_interests
    )


@dataclasses.dataclass(slots=True)
class ViewNews:
    """What a node is told of views.

    Attributes:
      whole: views in place of those that it acts by.
      steps: the way to others from those that it acts by.
    """

    whole: list[messages.ServiceView] = dataclasses.field(default_factory=list)
    steps: list[messages.ViewSteps] = dataclasses.field(default_factory=list)


def view_news(
    config: machine.ConfigMachine,
    active: set[ids.ServiceName],
    renewal: messages.LeaseRenew,
) -> ViewNews:
    """Returns what has changed in the views that a node acts by.

    Only its members are told that a view has become active, for they alone
    act on it; each view would otherwise go to all its callers twice.

    Args:
      config: the replicated state.
      active: services whose newest view is active.
      renewal: of the node.
    """
    news = ViewNews()
    for view, ack in views_behind(config, active, renewal):
        is_active = view.service in active
        steps = steps_to(config, renewal, view, ack)
        if steps is None:
            news.whole.append(told_to(renewal, view, is_active))
        else:
            news.steps.append(
                messages.ViewSteps(
                    service=view.service,
                    base=ack.version,
                    steps=steps,
                    active=is_active,
                )
            )
    return news


def views_behind(
    config: machine.ConfigMachine,
    active: set[ids.ServiceName],
    renewal: messages.LeaseRenew,
) -> typing.Iterator[tuple[messages.ServiceView, messages.ViewAck | None]]:
    """Yields the views that a node has to be told of, and what it acts by."""
    acks = {ack.service: ack for ack in renewal.views}
    for service in sorted(services_of(config, renewal)):
        view = config.views.get(service)
        if view is None:
            continue
        ack = acks.get(service)
        is_old = ack is None or ack.version < view.version
        became_active = not is_old and service in active and not ack.active
        if is_old or (became_active and owns_by(renewal, view)):
            yield view, ack


def steps_to(
    config: machine.ConfigMachine,
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
    if owns_by(renewal, view) and not ack.member:
        return None
    steps = config.steps.since(view.service, ack.version)
    if steps is None:
        return None
    if renewal.keyless:
        steps = views.newest_by_host(steps)
    return steps if len(steps) <= len(view.members) else None


def owns_by(renewal: messages.LeaseRenew, view: messages.ServiceView) -> bool:
    """Returns whether the node may own keys by a view."""
    if renewal.keyless:
        return False
    return any(member.host == renewal.host for member in view.members)


def told_to(
    renewal: messages.LeaseRenew, view: messages.ServiceView, active: bool
) -> messages.ServiceView:
    """Returns a view as the node needs it.

    Only members take slots over and ask who was a member before. To the many
    who call the service the former views would be most of every push.
    """
    if not owns_by(renewal, view):
        view = views.without_formers(view)
    return dataclasses.replace(view, active=active)


def newer_routes(
    config: machine.ConfigMachine, renewal: messages.LeaseRenew
) -> messages.RoutesChange:
    """Returns the routes document where the node has an older one."""
    if renewal.routes >= config.routes.version:
        return messages.RoutesChange()
    return config.routes


def is_drained(
    config: machine.ConfigMachine, renewal: messages.LeaseRenew
) -> bool:
    """Returns whether an operator asked the node to leave."""
    return renewal.host in config.draining


def has_news(
    config: machine.ConfigMachine,
    active: set[ids.ServiceName],
    renewal: messages.LeaseRenew,
) -> bool:
    """Returns whether an answer would tell the node anything new."""
    if renewal.new_interests:
        return True
    if is_drained(config, renewal) and not renewal.leaving:
        return True
    if newer_routes(config, renewal).version:
        return True
    if any(views_behind(config, active, renewal)):
        return True
    update = table_update(config, renewal)
    return bool(update.changed or update.removed)
