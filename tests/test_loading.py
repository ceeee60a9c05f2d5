"""The modules that a daemon imports at its start."""

import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM = ROOT / "platform"
LIST_MODULES = """
import json, sys
sys.path[:0] = json.loads(sys.argv[2])
from adapter import programs
programs.load(sys.argv[1])
print(json.dumps(sorted(sys.modules)))
"""


def loaded_modules(role):
    """Returns the names of all modules that a daemon imports."""
    paths = json.dumps([str(ROOT), str(PLATFORM)])
    result = subprocess.run(
        [sys.executable, "-c", LIST_MODULES, role, paths],
        capture_output=True,
        check=True,
        text=True,
    )
    return set(json.loads(result.stdout))


class TestNode:
    """Nodes, which in a large fleet restart hundreds of times a day."""

    def test_node_imports_no_unused_modules(self):
        """Guards against starts that use twice the processor time."""
        unused = {
            "aiohttp.web",
            "mangobay.aiohttpbackend",
            "mangobay.consensus",
            "mangobay.control",
            "mangobay.edges",
            "mangobay.httpserver",
            "opentelemetry",
            "prometheus_client",
        }
        assert not unused & loaded_modules("node")
