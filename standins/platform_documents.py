"""The documents that the platform and its operators write."""

from collections.abc import Iterable, Mapping
from typing import Any


def make_settings_document(
    name: str,
    zone: str,
    service: str,
    addresses: Mapping[str, str],
    heartbeat_ms: int,
) -> dict[str, Any]:
    """Returns the settings file of a node.

    Args:
        name: The node's name.
        zone: Its availability zone.
        service: The service of the instance beside it.
        addresses: `IP:PORT` of `instance`, `store`, and of what the node
            serves: `inbound`, `outbound`, `readiness` and `control`.
        heartbeat_ms: How often the instance reports.
    """
    served = ("inbound", "outbound", "readiness", "control")
    return {
        "local": {
            "node": name,
            "zone": zone,
            "service": service,
            "appAddr": addresses["instance"],
        },
        "network": {
            "listen": {key: addresses[key] for key in served},
            "seeds": [],
        },
        "platform": {
            "heartbeatMs": heartbeat_ms,
            "platform": {"address": addresses["store"]},
        },
        "terms": {
            "bounds": {
                "graceS": 6,
                "retryBudgetRatio": 0.2,
                "retryBudgetSlack": 60,
                "budgetWindowS": 10,
            }
        },
    }


def make_route_entry(
    name: str, host: str, prefix: str, kind: str, service: str, **changes: Any
) -> dict[str, Any]:
    """Returns the entry of a route."""
    spec = {
        "host": host,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 1000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        **changes,
    }
    return {"entryKind": "routes", "metadata": {"name": name}, "spec": spec}


def make_configuration_document(
    version: int,
    routes: Iterable[dict[str, Any]],
    service: str,
    cold_per_second: float,
    cold_seconds: float,
) -> dict[str, Any]:
    """Returns a configuration with one service."""
    service_spec = {
        "healthPath": "/health",
        "maxConnections": 100,
        "coldStartS": cold_seconds,
        "coldPerS": cold_per_second,
    }
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1 << 20,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {
        "version": f"r{version}",
        "resources": [
            *routes,
            {
                "entryKind": "services",
                "metadata": {"name": service},
                "spec": service_spec,
            },
            {"entryKind": "limits", "metadata": {}, "spec": limits},
        ],
    }
