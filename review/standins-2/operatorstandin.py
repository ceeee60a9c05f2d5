"""Stand-in of the operator, who calls the control machines."""

import http.client
import json
import random
import time

ANSWER_SECONDS = 1.0
FIRST_BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 0.5


def call(address, port, name, data, base=None, seconds=ANSWER_SECONDS):
    """Returns status and body of one call; status 0 without a response."""
    connection = http.client.HTTPConnection(address, port, timeout=seconds)
    headers = {"Content-Type": "application/json"}
    if base is not None:
        headers["X-Mangobay-Base-Version"] = base
    try:
        connection.request("POST", f"/-/rpc?call={name}", data, headers)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Operator:
    """Sends manifests and reads them back, as the protocol page says.

    Attributes:
      version: number of the newest acknowledged manifest, 0 for none.
      manifest_data: that manifest, as it was sent.
    """

    def __init__(self, platform, record):
        self.platform = platform
        self.record = record
        self.version = 0
        self.manifest_data = b"null"
        self.rng = random.Random(1)
        self.sticky = None

    def hosts(self):
        """Returns the control machines that run, in an arbitrary order."""
        found = [
            machine
            for machine in self.platform.machines.values()
            if machine.role == "control" and machine.is_running
        ]
        self.rng.shuffle(found)
        found.sort(key=lambda machine: machine is not self.sticky)
        return found

    @property
    def manifest(self):
        """The newest acknowledged manifest."""
        return json.loads(self.manifest_data)

    def ask(self, name, data, base, seconds, answer_seconds=ANSWER_SECONDS):
        """Calls one host after the other until one gives a clear answer."""
        port = self.platform.ports["control"]
        give_up_at = time.monotonic() + seconds
        backoff = FIRST_BACKOFF_SECONDS
        while time.monotonic() < give_up_at:
            for machine in self.hosts():
                status, answer = call(
                    machine.ip, port, name, data, base, answer_seconds
                )
                if status and status < 500 and status not in (408, 429):
                    self.sticky = machine
                    return status, answer, machine.name
                self.sticky = None
                if time.monotonic() >= give_up_at:
                    break
            time.sleep(backoff)
            backoff = min(backoff * 2, MAX_BACKOFF_SECONDS)
        return 0, b"", ""

    def replace(self, manifest, seconds, is_logged=True):
        """Sends a manifest on top of the newest; returns whether it is taken."""
        base = f"r{self.version}" if self.version else "0"
        manifest["version"] = f"r{self.version + 1}"
        answer_seconds = ANSWER_SECONDS + 0.003 * len(
            manifest["routes"]["rows"]
        )
        data = json.dumps(manifest).encode()
        status, _, host = self.ask(
            "config.replace", data, base, seconds, answer_seconds
        )
        if is_logged or status != 200:
            self.record.write(
                "manifest sent",
                version=manifest["version"],
                base=base,
                status=status,
                host=host,
            )
        if status != 200:
            return False
        self.version += 1
        self.manifest_data = data
        return True

    def describe(self, seconds):
        """Reads the manifest; returns status and parsed body, None if none."""
        status, data, host = self.ask(
            "config.describe", b"{}", None, seconds, 4.0
        )
        found = json.loads(data) if status == 200 else None
        self.record.write(
            "manifest read",
            status=status,
            host=host,
            version=found["version"] if found else None,
            acknowledged=f"r{self.version}",
        )
        return status, found


def manifest(services, route_type="safe"):
    """Returns a manifest with one route for each service."""
    columns = ["name", "hostname", "path_prefix", "route_type", "timeout"]
    columns += ["target_latency", "priority", "max_attempts", "service"]
    rows = [
        [f"r-{name}", f"{name}.example", f"/{name}/", route_type]
        + ["5000ms", "1500ms", 0, 2, name]
        for name in services
    ]
    return {
        "version": "r1",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": ["name", "health_path", "max_connections"],
            "rows": [[name, "/healthz", 500] for name in services],
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
