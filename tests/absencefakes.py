"""A group that replaces its hosts, and ways in which a host is away meanwhile."""

import groupfakes

VOTERS = 5
TOLERANCE = 2


class SeededCluster(groupfakes.Cluster):
    """A group of five whose hosts know three seeds when they start.

    Attributes:
      seeds: the hosts in the settings of a host that starts now.
    """

    def __init__(self, seed=1):
        self.seeds = []
        super().__init__(
            seed, size=3, voters=VOTERS, tolerance=TOLERANCE, joins=True
        )
        self.seeds = list(self.hosts)
        self.network.frozen_poll_seconds = 0.5

    def configured_addresses(self):
        return tuple(host.address for host in self.seeds)

    def running(self):
        """Returns the hosts that were not taken away for good."""
        return [host for host in self.hosts if host.task is not None]

    def add_host(self):
        """Starts an empty host that finds the group by the seeds."""
        self.add_hosts(1)
        self.hosts[-1].start(join=True)
        return self.hosts[-1]

    async def grow(self):
        """Returns once five hosts vote; the last two have joined."""
        for _ in range(VOTERS - len(self.hosts)):
            self.add_host()
        await self.wait_for_voters(self.hosts)
        await self.commit("grown")

    def committed_voters(self):
        """Returns the disks of the newest voters that are committed."""
        groups = [host.group for host in self.running()]
        newest = max(groups, key=lambda group: group.commit_index)
        return newest.voters.voters_at(newest.commit_index).voters

    def are_voters(self, hosts):
        """Returns whether the committed voters are these hosts' disks."""
        disks = {voter.identity for voter in self.committed_voters()}
        return disks == {host.group.identity for host in hosts}

    async def wait_for_voters(self, hosts, seconds=30):
        """Returns once the voters are these hosts."""
        await self.wait_until(lambda: self.are_voters(hosts), seconds)

    async def replace(self, host):
        """Takes a host away for good, and adds an empty one.

        The seeds are exchanged when the one that was taken away was a seed.
        """
        successor = self.add_host()
        await host.crash()
        if host in self.seeds:
            self.seeds[self.seeds.index(host)] = successor
        return successor

    async def restart(self, hosts):
        """Ends the processes of hosts, and starts them again."""
        for host in hosts:
            await host.crash(power_lost=False)
        for host in hosts:
            host.start(join=True)

    async def lose_disks(self, hosts):
        """Empties the disks of hosts at the same moment."""
        for host in hosts:
            await host.crash()
            host.lose_disk()
        for host in hosts:
            host.start(join=True)


class Absence:
    """One host that is away while the group gives its place to another.

    Attributes:
      host: the host that is away.
    """

    def __init__(self, cluster, host):
        self.cluster = cluster
        self.host = host

    async def begin(self) -> None:
        """Takes the host away."""

    async def end(self) -> None:
        """Brings the host back."""


class Killed(Absence):
    """Its process is ended."""

    power_lost = False

    async def begin(self):
        await self.host.crash(power_lost=self.power_lost)

    async def end(self):
        self.host.start(join=True)


class PowerLost(Killed):
    """What it had not synced is gone as well."""

    power_lost = True


class Frozen(Absence):
    """Its messages stop on their way, in both directions."""

    async def begin(self):
        self.cluster.network.frozen_hosts.add(self.host.address)

    async def end(self):
        self.cluster.network.frozen_hosts.discard(self.host.address)


class Unheard(Absence):
    """It hears the others, which do not hear it."""

    async def begin(self):
        self.cluster.network.mute_hosts.add(self.host.address)

    async def end(self):
        self.cluster.network.mute_hosts.discard(self.host.address)


class Deaf(Absence):
    """The others hear it, but it does not hear them."""

    async def begin(self):
        self.cluster.network.deaf_hosts.add(self.host.address)

    async def end(self):
        self.cluster.network.deaf_hosts.discard(self.host.address)


class CutOff(Absence):
    """It hears nobody, and nobody hears it."""

    async def begin(self):
        self.cluster.network.mute_hosts.add(self.host.address)
        self.cluster.network.deaf_hosts.add(self.host.address)

    async def end(self):
        self.cluster.network.mute_hosts.discard(self.host.address)
        self.cluster.network.deaf_hosts.discard(self.host.address)


ABSENCES = (Killed, PowerLost, Frozen, CutOff, Unheard, Deaf)
