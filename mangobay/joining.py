"""How a control host that is no voter yet makes itself known to the group.

Nobody tells a control host who the others are: it knows a few seeds.  It asks
them, and those they name, until the group has made it a voter.
"""

import asyncio
import dataclasses
import typing

from mangobay import errors, options
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import consensus, peers

JOIN_INTERVAL_SECONDS = 0.3
"""Between two rounds of asking while this host is no voter: ten rounds fit
into the time in which a replaced host should be back."""
VOTER_CHECK_SECONDS = 1.0
"""Between two looks whether it still is one."""
REPLY_TIMEOUT_SECONDS = 0.25
"""Seconds for an answer; a seed that is down must not hold up the others."""


def group_with_seeds(
    group: settings.ControlGroup, address: options.Address
) -> settings.ControlGroup:
    """Returns the settings with the seeds as the first hosts of the group.

    Only the IP numbers of seeds count: control hosts take each other's
    messages at the same port everywhere.

    Args:
      group: as the settings file has them.
      address: where this host takes messages.
    """
    if not group.seeds:
        return group
    hosts = seed_addresses(group.seeds, address.port)
    join = group.join or address not in hosts
    return dataclasses.replace(group, hosts=hosts, join=join)


def node_control_with_seeds(
    control: settings.NodeControl, address: options.Address
) -> settings.NodeControl:
    """Returns a node's settings with the seeds as its control hosts."""
    if not control.seeds:
        return control
    hosts = seed_addresses(control.seeds, address.port)
    return dataclasses.replace(control, hosts=hosts)


def seed_addresses(
    seeds: tuple[options.Address, ...], port: int
) -> tuple[options.Address, ...]:
    """Returns where the seeds take the messages of processes."""
    return tuple(options.Address(seed.ip, port) for seed in seeds)


async def run(
    group: "consensus.Group", transport: "peers.Transport"
) -> typing.NoReturn:
    """Asks to be let in whenever this host is no voter, until cancelled."""
    known_addresses = set(group.settings.hosts) - {group.address}
    while True:
        if group.is_voter:
            await asyncio.sleep(VOTER_CHECK_SECONDS)
            continue
        replies = await asyncio.gather(
            *(
                request_join(group, transport, address)
                for address in known_addresses
            )
        )
        for addresses in replies:
            known_addresses |= addresses
        known_addresses.discard(group.address)
        await asyncio.sleep(JOIN_INTERVAL_SECONDS)


async def request_join(
    group: "consensus.Group",
    transport: "peers.Transport",
    address: options.Address,
) -> set[options.Address]:
    """Makes this host known to another one; returns whom that one knows."""
    body = messages.GroupJoin(address=str(group.address))
    try:
        reply = await transport.send_request(
            address, body, REPLY_TIMEOUT_SECONDS
        )
    except (errors.PeerError, TimeoutError):
        return set()
    if not isinstance(reply, messages.GroupJoinReply):
        return set()
    return {options.parse_address(text) for text in reply.addresses}


def handle_join(
    group: "consensus.Group", body: messages.GroupJoin
) -> messages.GroupJoinReply:
    """Takes another control host among the followers; names the voters.

    Raises:
      errors.PeerProtocolError: it names no address.
    """
    try:
        group.add_follower(options.parse_address(body.address))
    except ValueError as error:
        raise errors.PeerProtocolError(f"no address: {error}") from None
    addresses = set(group.voter_addresses())
    if group.leader_address:
        addresses.add(group.leader_address)
    return messages.GroupJoinReply(addresses=sorted(addresses))
