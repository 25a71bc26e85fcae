"""Creates the documents that the platform and its operators write."""

from collections.abc import Iterable, Mapping
from typing import Any


def make_settings_document(
    name: str,
    zone: str,
    service: str,
    addresses: Mapping[str, str],
    heartbeat_ms: int,
) -> dict[str, Any]:
    """Returns the content of a node's settings file.

    Args:
        name: The name of the node.
        zone: The availability zone of the node.
        service: The service of the instance on the node's host.
        addresses: The `IP:PORT` of `instance`, of `store`, and of the
            addresses that the node serves: `inbound`, `outbound`, `readiness`
            and `control`.
        heartbeat_ms: The interval between reports of the instance.
    """
    served_addresses = ("inbound", "outbound", "readiness", "control")
    return {
        "local": {
            "node": name,
            "zone": zone,
            "service": service,
            "appAddr": addresses["instance"],
        },
        "network": {
            "listen": {key: addresses[key] for key in served_addresses},
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
    """Returns the configuration entry of a route."""
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


def make_organisation_entry(
    name: str, keys: Iterable[str], **changes: Any
) -> dict[str, Any]:
    """Returns the configuration entry of an organisation without a cap."""
    spec = {"apiKeys": list(keys), **changes}
    return {"entryKind": "tenants", "metadata": {"name": name}, "spec": spec}


def make_configuration_document(
    version: int,
    routes: Iterable[dict[str, Any]],
    service: str,
    cold_per_second: float,
    cold_seconds: float,
) -> dict[str, Any]:
    """Returns a configuration document with one service."""
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
