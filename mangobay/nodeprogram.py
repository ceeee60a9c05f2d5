"""The base class of node daemons."""

from mangobay import basenode, program
from mangobay.generated import settings


class NodeProgram(program.Program):
    """The daemon `mangobay-node`; subclasses create the node."""

    name = "mangobay-node"
    description = "Runs the node of a backend server."
    epilog = (
        "exit codes: 0 stopped, every awaited response was given; 1 cannot"
        " start, or awaited responses were aborted; 2 invalid settings or"
        " command line"
    )
    sections = settings.NODE_SECTIONS
    config_class = settings.Node

    def make_node(self, config: settings.Node) -> basenode.BaseNode:
        """Returns the node to run."""
        raise NotImplementedError

    async def run(self, config: settings.Node) -> int:
        """Runs a node until it has left; returns the exit code."""
        return await self.make_node(config).run()
