"""Writes the settings of every process of a deployment on loopback."""

import argparse
import configparser
import dataclasses
import os
import pathlib
import socket

from bench import deployment
from mangobay import ids, options

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Above it the kernel gives ports to outgoing connections."""
CONTROL_HOSTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class ControlHost:
    """A control host.

    Attributes:
      name: of the host.
      data_centre: where it stands.
      peer: listener for the system's processes.
      operator: listener for operators.
      settings: path of its settings.
    """

    name: ids.HostId
    data_centre: ids.DataCentre
    peer: options.Address
    operator: options.Address
    settings: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class NodeHost:
    """A host with a backend server and its node.

    Attributes:
      name: of the host.
      data_centre: where it stands.
      service: what its backend server serves.
      slots: of its backend server.
      outside: listener of the node for callers.
      local: listener of the node for its backend server.
      peer: listener of the node for the system's processes.
      backend: listener of the backend server.
      settings: path of the node's settings.
    """

    name: ids.HostId
    data_centre: ids.DataCentre
    service: ids.ServiceName
    slots: int
    outside: options.Address
    local: options.Address
    peer: options.Address
    backend: options.Address
    settings: pathlib.Path


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Every host of a deployment.

    Attributes:
      controls: the control hosts.
      nodes: the hosts with backend servers.
    """

    controls: list[ControlHost]
    nodes: list[NodeHost]

    def operators(self) -> tuple[options.Address, ...]:
        """Returns where operators connect."""
        return tuple(host.operator for host in self.controls)


class Ports:
    """Gives distinct addresses on loopback.

    Attributes:
      next: the port to try next.
      probe: whether a port in use is passed over.
    """

    def __init__(self, first: int = 0):
        span = LAST_PORT - FIRST_PORT - 1000
        self.next = first or FIRST_PORT + os.getpid() * 97 % span
        self.probe = not first

    def take(self) -> options.Address:
        """Returns an address that nobody listens on."""
        while True:
            address = options.Address(LOOPBACK, self.next)
            self.next += 1
            if not self.probe or is_free(address):
                return address


def is_free(address: options.Address) -> bool:
    """Returns whether a listener can be opened there."""
    with socket.socket() as listener:
        try:
            listener.bind(address)
        except OSError:
            return False
    return True


def lay_out(
    plan: deployment.Deployment,
    folder: pathlib.Path,
    ports: Ports,
    slots_share: float = 1.0,
) -> Layout:
    """Returns where everything listens.

    Args:
      plan: the deployment.
      folder: where the settings go.
      ports: gives the addresses.
      slots_share: of the slots that the deployment has; at least one stays.
    """
    places = plan.data_centres
    controls = [
        ControlHost(
            ids.HostId(f"control-{place}"),
            place,
            ports.take(),
            ports.take(),
            folder / f"control-{place}.ini",
        )
        for place in places[:CONTROL_HOSTS]
    ]
    nodes = []
    for service in plan.services.values():
        for number in range(service.upstreams):
            place = places[number % len(places)]
            name = f"{service.name}-{number + 1}"
            nodes.append(
                NodeHost(
                    ids.HostId(name),
                    place,
                    service.name,
                    max(1, round(service.slots * slots_share)),
                    ports.take(),
                    ports.take(),
                    ports.take(),
                    ports.take(),
                    folder / f"node-{place}-{name}.ini",
                )
            )
    return Layout(controls, nodes)


def control_settings(host: ControlHost, layout: Layout) -> dict:
    """Returns the sections of a control host's settings."""
    return {
        "host": {"name": host.name, "data_centre": host.data_centre},
        "listen": {"peer": host.peer, "operator": host.operator},
        "group": {
            "hosts": joined(layout),
            "data": host.settings.with_suffix(".data"),
        },
        "log": {"file": host.settings.with_suffix(".log")},
    }


def node_settings(
    host: NodeHost, layout: Layout, plan: deployment.Deployment
) -> dict:
    """Returns the sections of a node's settings."""
    connections = plan.services[host.service].connections
    return {
        "host": {"name": host.name, "data_centre": host.data_centre},
        "listen": {
            "outside": host.outside,
            "local": host.local,
            "peer": host.peer,
        },
        "control": {"hosts": joined(layout)},
        "backend": {"connections": connections},
        "recovery": {"weight": plan.recovery_weight},
        "log": {"file": host.settings.with_suffix(".log")},
    }


def joined(layout: Layout) -> str:
    """Returns the peer addresses of the control hosts as a setting."""
    return " ".join(str(host.peer) for host in layout.controls)


def write(path: pathlib.Path, sections: dict, changes: dict) -> None:
    """Writes a settings file; changes are further keys of some sections."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    for section, keys in changes.items():
        if not parser.has_section(section):
            parser.add_section(section)
        parser[section].update({key: str(keys[key]) for key in keys})
    with open(path, "w", encoding="utf-8") as file:
        parser.write(file)


def write_all(
    layout: Layout,
    plan: deployment.Deployment,
    node_changes: dict | None = None,
    control_changes: dict | None = None,
) -> None:
    """Writes the settings of every process."""
    for host in layout.controls:
        sections = control_settings(host, layout)
        write(host.settings, sections, control_changes or {})
    for host in layout.nodes:
        sections = node_settings(host, layout, plan)
        write(host.settings, sections, node_changes or {})


def main() -> None:
    """Writes the settings of a deployment into a folder."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", default="cedal")
    parser.add_argument("--folder", type=pathlib.Path, required=True)
    parser.add_argument("--first-port", type=int, default=0)
    arguments = parser.parse_args()
    plan = deployment.read(arguments.deployment)
    arguments.folder.mkdir(parents=True, exist_ok=True)
    ports = Ports(arguments.first_port)
    write_all(lay_out(plan, arguments.folder, ports), plan)


if __name__ == "__main__":
    main()
