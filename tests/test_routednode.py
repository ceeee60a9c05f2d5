"""A routed node by itself: which routes are in force there."""

import json

import platformfakes
import pytest
from adapter import nodeprogram

from mangobay import routednode, routespublisher, settings
from mangobay.generated import messages
from mangobay.generated import settings as settings_classes


def make_change(version, document):
    """Returns the change that puts an encoded document in force."""
    return routespublisher.make_routes_change(version, version - 1, document)


def encoded(version):
    """Returns an encoded document that can be read."""
    return json.dumps(platformfakes.configuration(version, ["a"])).encode()


@pytest.fixture
async def node(tmp_path):
    """A node that is not started, and gets routes from its control client."""
    ports = {
        name: getattr(platformfakes, name)
        for name in ("PEER", "OUTSIDE", "READY", "METRICS", "HEARTBEATS")
    }
    path = tmp_path / "node.ini"
    path.write_text(
        platformfakes.NODE_SETTINGS.format(
            number=1,
            ip="127.0.0.1",
            seeds="127.0.0.1:1",
            max_staleness="0",
            service="a",
            BACKEND=platformfakes.BACKEND,
            grace="6s",
            linger="1s",
            folder=tmp_path,
            **ports,
        )
    )
    config = settings.load(
        str(path), settings_classes.NODE_SECTIONS, settings_classes.Node
    )
    made = routednode.RoutedNode(config, nodeprogram.PLATFORM_ADAPTER)
    made.control.routes.subscribe(made.apply_routes)
    made.control.apply_routes(make_change(1, encoded(1)))
    return made


class TestUnreadableRoutes:
    """A confirmed document that this version of the node cannot read."""

    async def test_node_tells_and_keeps_the_routes_in_force(self, node):
        """Each renewal of the lease fails, and nobody is told."""
        assert node.is_ready()
        node.control.apply_routes(make_change(2, b"{"))
        assert node.gateway.table.document.version == 1
        assert node.control.make_renewal().unreadable_routes
        assert not node.is_ready()
        assert b"mangobay_unreadable_routes 1.0" in node.metrics.render()

    async def test_next_readable_document_is_in_force(self, node):
        """The node stays with old routes after the fault is mended."""
        node.control.apply_routes(make_change(2, b"{"))
        node.control.apply_routes(make_change(3, encoded(3)))
        assert node.gateway.table.document.version == 3
        assert not node.control.make_renewal().unreadable_routes
        assert node.is_ready()

    async def test_older_routes_are_not_taken_for_the_newest(self, node):
        """Callers get a final 404 for a route that was added."""
        node.control.apply_routes(make_change(2, b"{"))
        lease = node.control.document_lease
        grant = messages.LeaseGrant(granted=True, ttl_ms=4000)

        class Transport:
            """Grants each renewal."""

            async def send_request(self, address, body, timeout):
                del address, body, timeout
                return grant

        node.control.transport = Transport()
        renewal = node.control.make_renewal()
        host = node.control.current_address
        assert await node.control.renew_at(host, renewal)
        assert lease.age() == float("inf")
