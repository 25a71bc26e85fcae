"""The nodes, ports and files of the demonstration."""

import json
import random
import socket
from pathlib import Path
from typing import NamedTuple

ZONES = ("costa-a", "costa-b", "costa-c")
SERVICES = ("lanes", "reservas")

_FIRST_PORT = 10_000
_END_PORT = 32_000
# Seeded by the system, so that concurrent runs choose different ports.
_random = random.SystemRandom()
_reserved: set[int] = set()


class DemoNode(NamedTuple):
    """A node and the address of the upstream beside it."""

    name: str
    availability_zone: str
    service: str
    caller_address: str
    peer_address: str
    admin_address: str
    upstream_address: str


def make_nodes() -> list[DemoNode]:
    """Returns six nodes in three availability zones."""
    return [
        DemoNode(
            f"{service}-{zone}",
            zone,
            service,
            *(f"127.0.0.1:{port}" for port in reserve_ports(4)),
        )
        for service in SERVICES
        for zone in ZONES
    ]


def reserve_ports(count: int) -> list[int]:
    """Returns free ports that the system does not assign to other sockets.

    Ports of the ephemeral range are avoided, because the system may assign one
    to an outgoing connection before it is used.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randrange(_FIRST_PORT, _END_PORT)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _reserved:
            _reserved.add(port)
            ports.append(port)
    return ports


def write_settings(node: DemoNode, log_address: str, folder: Path) -> Path:
    """Writes a node's settings and returns the file's path."""
    path = folder / f"{node.name}.json"
    settings = {
        "cluster": "demo",
        "secret": "demo-secret",
        "node_id": node.name,
        "host": f"host-{node.name}",
        "availability_zone": node.availability_zone,
        "caller_address": node.caller_address,
        "peer_address": node.peer_address,
        "admin_address": node.admin_address,
        "log_address": log_address,
    }
    path.write_text(json.dumps(settings, indent=2))
    return path


def write_configuration(folder: Path, withdrawn: str | None) -> Path:
    """Writes a configuration and returns the file's path.

    Args:
        folder: The folder of the file.
        withdrawn: The availability zone that is out of service, or None.
    """
    path = folder / "services.json"
    document = {
        "services": {
            "lanes": {"slots": 6, "connections": 260},
            "reservas": {
                "depends_on": ["lanes"],
                "slots": 6,
                "connections": 260,
            },
        },
        "availability_zones": {
            zone: {"region": "costa", "in_service": zone != withdrawn}
            for zone in ZONES
        },
    }
    path.write_text(json.dumps(document, indent=2))
    return path
