"""Entry point of mangobay-node."""

import sys

from mangobay import node, nodeprogram
from mangobay.generated import settings


class NodeProgram(nodeprogram.NodeProgram):
    """A node with the product's own edges."""

    def make_node(self, config: settings.Node) -> node.Node:
        """Returns the node that is run."""
        return node.Node(config)


main = NodeProgram().main

if __name__ == "__main__":
    sys.exit(main())
