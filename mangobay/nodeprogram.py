"""What the programs of all kinds of node share."""

from mangobay import basenode, program
from mangobay.generated import settings


class NodeProgram(program.Program):
    """The program `mangobay-node`; subclasses make the node."""

    name = "mangobay-node"
    description = "The node beside a backend server."
    epilog = (
        "exit codes: 0 left as asked, nothing cut; 1 cannot start, or calls"
        " were cut; 2 bad settings or command line"
    )
    sections = settings.NODE_SECTIONS
    config_class = settings.Node

    def make_node(self, config: settings.Node) -> basenode.BaseNode:
        """Returns the node that is run."""
        raise NotImplementedError

    async def run(self, config: settings.Node) -> int:
        """Runs a node until it has left; returns the exit code."""
        return await self.make_node(config).run()
