"""Entry point of mangobay-node."""

import sys

from mangobay import node, nodeprogram
from mangobay.generated import settings


class NodeProgram(nodeprogram.NodeProgram):
    """The daemon of a node with the `aiohttp` edges."""

    def make_node(self, config: settings.Node) -> node.Node:
        """Returns the node to run."""
        return node.Node(config)


main = NodeProgram().main

if __name__ == "__main__":
    sys.exit(main())
