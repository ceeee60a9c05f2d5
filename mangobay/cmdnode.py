"""Entry point of mangobay-node."""

import sys

from mangobay import node, program
from mangobay.generated import settings


class NodeProgram(program.Program):
    """The program `mangobay-node`."""

    name = "mangobay-node"
    help = "The node beside a backend server."
    exit_help = (
        "exit codes: 0 left as asked, nothing cut; 1 cannot start, or calls"
        " were cut; 2 bad settings or command line"
    )
    sections = settings.NODE_SECTIONS
    config = settings.Node

    async def run(self, config: settings.Node) -> int:
        """Runs a node until it has left; returns the exit code."""
        return await node.Node(config).run()


main = NodeProgram().main

if __name__ == "__main__":
    sys.exit(main())
