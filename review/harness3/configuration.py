"""The configurations that the operator writes."""

import json
from collections.abc import Iterable
from typing import Any


def make_route(
    name: str, prefix: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Returns the entry of a route."""
    spec = {
        "host": "shop.example",
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1200,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }
    return {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}


def make_service(name: str, **changes: Any) -> dict[str, Any]:
    """Returns the entry of a service."""
    spec = {
        "healthPath": "/health",
        "maxConnections": 240,
        "coldStartS": 3.0,
        "coldPerS": 28.0,
        **changes,
    }
    return {"entryKind": "services", "metadata": {"name": name}, "spec": spec}


def make_configuration(
    version: int, entries: Iterable[dict[str, Any]]
) -> bytes:
    """Returns a whole configuration as it lies in the store."""
    limits = {
        "entryKind": "limits",
        "metadata": {"name": "limits"},
        "spec": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1 << 20,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }
    document = {"version": f"r{version}", "resources": [*entries, limits]}
    return json.dumps(document).encode()
