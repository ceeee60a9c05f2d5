"""The check before the first byte of a call with a key."""

import asyncio

import once_fakes
import pytest

from mangobay.generated import messages


@pytest.mark.looptime
class TestView:
    """A view that changes while the check waits for the holder."""

    async def test_holder_changes_during_its_acknowledgement(self):
        """A view without the holder arrives before its acknowledgement.

        The node still owns the key, but the new holder has no copy: if the
        call started and its node were lost, the next owner would run it again.
        The caller must get `not_run`, and its repeat must run once.
        """
        async with once_fakes.running_network() as net:
            key = once_fakes.new_key()
            owner, holder = net.owner(key), net.holder(key)
            send_task = asyncio.create_task(net.send(owner, key))
            await asyncio.sleep(1.2 * once_fakes.NETWORK_DELAY_SECONDS)
            net.publish_view(*(host for host in net.members if host != holder))
            assert net.owner(key) == owner
            reply = await send_task
            assert reply.outcome is messages.Outcome.NOT_RUN
            assert reply.reason is messages.Reason.OWNER_CHANGED
            assert net.runs == []
            repeat = await net.send(owner, key)
            assert repeat.outcome is messages.Outcome.ANSWERED
            assert net.runs == ["run"]
