"""Discovery: how a control host that is not a voter finds and joins the group.

The settings of a control host name only a few seeds. The host sends join
requests to the seeds, and to the hosts named in their replies, until the group
has made it a voter.
"""

import asyncio
import dataclasses
import typing

from mangobay import errors, logs, options
from mangobay.generated import messages, settings

if typing.TYPE_CHECKING:
    from mangobay import consensus, peers

JOIN_INTERVAL_SECONDS = 0.3
"""Time between join requests while this host is not a voter, and between checks
whether it still is one. Ten rounds fit into the time within which a replaced host
should be back."""
ROUNDS_UNTIL_LOGGED = 2
"""Rounds of join requests after which they are logged: the first one is also sent
at a start and when a leader hands over."""
SILENT_ELECTION_TIMEOUTS = 2
"""Time without a request of a leader after which a voter asks to join, in election
timeouts: by then it has campaigned, and a leader that was elected instead has
sent it a heartbeat, unless its place was given away and its address forgotten."""
REPLY_TIMEOUT_SECONDS = 0.25
"""Short, so that an unreachable seed does not delay the others."""


def group_with_seeds(
    group: settings.ControlGroup, address: options.Address
) -> settings.ControlGroup:
    """Returns the settings with the seeds as the initial hosts of the group.

    Only the IP addresses of the seeds are used: all control hosts listen for
    each other on the same port.

    Args:
      group: the settings from the file.
      address: the peer address that this host listens on.
    """
    if not group.seeds:
        return group
    hosts = seed_addresses(group.seeds, address.port)
    join = group.join or address not in hosts
    return dataclasses.replace(group, hosts=hosts, join=join)


def node_control_with_seeds(
    control: settings.NodeControl, address: options.Address
) -> settings.NodeControl:
    """Returns a node's settings with the seeds as control hosts."""
    if not control.seeds:
        return control
    hosts = seed_addresses(control.seeds, address.port)
    return dataclasses.replace(control, hosts=hosts)


def seed_addresses(
    seeds: tuple[options.Address, ...], port: int
) -> tuple[options.Address, ...]:
    """Returns the peer addresses of the seeds."""
    return tuple(options.Address(seed.ip, port) for seed in seeds)


async def run(
    group: "consensus.Group", transport: "peers.Transport"
) -> typing.NoReturn:
    """Sends join requests while this host is not a voter, until cancelled.

    Only the others can know whether it is one still.
    """
    known_addresses = set(group.settings.hosts)
    rounds = 0
    while True:
        if is_known_voter(group):
            if rounds >= ROUNDS_UNTIL_LOGGED:
                log_state(group, "is a voter")
            rounds = 0
            await asyncio.sleep(JOIN_INTERVAL_SECONDS)
            continue
        rounds += 1
        if rounds == ROUNDS_UNTIL_LOGGED:
            log_state(group, "asks to join")
        known_addresses |= {
            options.parse_address(text) for text in group.voter_addresses()
        }
        known_addresses.discard(group.address)
        replies = await asyncio.gather(
            *(
                request_join(group, transport, address)
                for address in known_addresses
            )
        )
        for addresses in replies:
            known_addresses |= addresses
        await asyncio.sleep(JOIN_INTERVAL_SECONDS)


def is_known_voter(group: "consensus.Group") -> bool:
    """Returns whether this host is a voter to which a leader replicates.

    A process that has just started does not know, so that it asks at once.
    """
    if not group.is_voter:
        return False
    silent_seconds = group.now() - group.leader_contact_at
    max_silence = SILENT_ELECTION_TIMEOUTS * group.settings.election_timeout
    return group.leading.is_set() or silent_seconds <= max_silence


def log_state(group: "consensus.Group", event: str) -> None:
    """Logs that this host begins or ends to send join requests."""
    logs.log_event(
        logs.Component.GROUP,
        event,
        address=str(group.address),
        voter_by_own_log=group.voters.is_voter(group.identity),
        leader=group.leader,
        term=group.term,
        commit_index=group.commit_index,
    )


async def request_join(
    group: "consensus.Group",
    transport: "peers.Transport",
    address: options.Address,
) -> set[options.Address]:
    """Sends a join request; returns the addresses in the reply."""
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
    """Starts replicating to a joining host; returns the known addresses.

    Raises:
      errors.PeerProtocolError: the request has no valid address.
    """
    try:
        address = options.parse_address(body.address)
    except ValueError as error:
        raise errors.PeerProtocolError(f"no address: {error}") from None
    if group.add_follower(address):
        logs.log_event(
            logs.Component.GROUP, "host asks to join", address=body.address
        )
    addresses = set(group.voter_addresses())
    if group.leader_address:
        addresses.add(group.leader_address)
    return messages.GroupJoinReply(addresses=sorted(addresses))
