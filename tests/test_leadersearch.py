"""Which control host a node asks next."""

import asyncio

import pytest

from mangobay import leadersearch, options

pytestmark = pytest.mark.looptime

HOSTS = tuple(options.Address("127.0.0.1", port) for port in range(1, 6))
LEADER, FOLLOWER, *OTHERS = HOSTS
PATIENCE = 0.5


def make_search():
    return leadersearch.LeaderSearch(HOSTS, LEADER, PATIENCE)


async def ask(search, busy=()):
    """Returns the host that is asked next."""
    await asyncio.sleep(0.01)
    host = search.next_host(busy)
    search.record_asked(host)
    return host


class TestNextHost:
    """The order in which hosts are asked."""

    async def test_leader_is_asked_again_and_again(self):
        search = make_search()
        search.record_grant(FOLLOWER, 3)
        assert [await ask(search) for _ in range(3)] == [FOLLOWER] * 3

    async def test_every_host_is_asked_while_none_leads(self):
        search = make_search()
        asked = []
        for _ in HOSTS:
            asked.append(await ask(search))
            search.record_refusal(asked[-1], 3, None)
        assert sorted(asked) == sorted(HOSTS)

    async def test_busy_hosts_are_left_alone(self):
        search = make_search()
        assert await ask(search, {LEADER}) == FOLLOWER
        assert search.next_host(set(HOSTS)) is None

    async def test_silent_leader_is_not_asked_whenever_it_is_named(self):
        """Guards against nodes that are sent back to a former leader."""
        search = make_search()
        assert await ask(search) == LEADER
        search.record_grant(LEADER, 3)
        search.record_silence(LEADER)
        asked = []
        for _ in OTHERS:
            asked.append(await ask(search))
            search.record_refusal(asked[-1], 3, LEADER)
        assert LEADER not in asked
        assert len(set(asked)) == len(asked)

    async def test_leader_of_a_newer_term_is_asked_at_once(self):
        """Guards against a new leader that is left out since it refused."""
        search = make_search()
        search.record_refusal(FOLLOWER, 3, LEADER)
        search.record_refusal(OTHERS[0], 4, FOLLOWER)
        assert await ask(search) == FOLLOWER

    async def test_candidate_that_wins_is_asked_at_once(self):
        search = make_search()
        search.record_refusal(FOLLOWER, 4, None)
        search.record_refusal(OTHERS[0], 4, FOLLOWER)
        assert await ask(search) == FOLLOWER

    async def test_leader_that_stepped_down_is_not_asked_again(self):
        search = make_search()
        assert await ask(search) == LEADER
        search.record_grant(LEADER, 3)
        search.record_refusal(LEADER, 3, None)
        assert await ask(search) == FOLLOWER
        search.record_refusal(FOLLOWER, 3, LEADER)
        assert await ask(search) in OTHERS

    async def test_host_in_an_older_term_names_no_leader(self):
        search = make_search()
        search.record_refusal(FOLLOWER, 4, None)
        search.record_refusal(OTHERS[0], 3, OTHERS[1])
        assert search.leader != OTHERS[1]

    async def test_hosts_that_reply_go_before_silent_ones(self):
        """Guards against turns that are spent on hosts without power."""
        search = make_search()
        for host in HOSTS:
            assert await ask(search) == host
            search.record_refusal(host, 3, None)
        search.record_silence(LEADER)
        asked = [await ask(search) for _ in HOSTS]
        assert asked == [FOLLOWER, *OTHERS, FOLLOWER]

    async def test_failure_is_forgotten(self):
        search = make_search()
        search.record_silence(LEADER)
        await asyncio.sleep(leadersearch.FAILURE_MEMORY_SECONDS)
        search.record_refusal(FOLLOWER, 0, LEADER)
        assert await ask(search) == LEADER

    async def test_broken_connection_is_made_anew_once(self):
        """Guards against a leader that is left out since it was restarted."""
        search = make_search()
        search.record_grant(LEADER, 3)
        search.record_broken_connection(LEADER)
        assert await ask(search) == LEADER
        search.record_broken_connection(LEADER)
        assert await ask(search) != LEADER


class TestReplyTimeout:
    """How long a host may take to reply."""

    async def test_it_grows_for_the_host_that_is_late_only(self):
        search = make_search()
        for _ in range(9):
            search.record_timeout(LEADER)
        assert search.reply_timeout(LEADER) == search.max_reply_timeout == 4.0
        assert search.reply_timeout(FOLLOWER) == PATIENCE

    async def test_quick_reply_resets_it(self):
        search = make_search()
        search.record_timeout(LEADER)
        search.record_reply(LEADER, 0.5)
        assert search.reply_timeout(LEADER) == 1.0
        search.record_reply(LEADER, 0.1)
        assert search.reply_timeout(LEADER) == PATIENCE


class TestHosts:
    """Control hosts that come and go."""

    async def test_hosts_that_left_are_forgotten(self):
        """Guards against a memory of every host that there ever was."""
        search = make_search()
        for host in HOSTS:
            search.record_asked(host)
        search.update_hosts(OTHERS)
        assert set(search.states) == set(OTHERS)
        assert search.hosts == OTHERS
