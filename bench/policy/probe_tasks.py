"""Creates the real probe tasks of the nodes for the benchmark."""

from typing import NamedTuple

from bench.policy.deployment import Deployment
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.node.probe_task import ProbeTask
from rhubarbpaddle.telemetry import Metrics


class _Registry(NamedTuple):
    service: Service


def make_probe_tasks(deployment: Deployment) -> list[ProbeTask]:
    """Creates the task of each host that has an instance."""
    registry = _Registry(deployment.service)
    metrics = Metrics()
    return [
        ProbeTask(
            host.sidecar,
            registry,  # type: ignore[arg-type]
            deployment.clock,
            metrics,
        )
        for host in deployment.get_upstream_hosts()
    ]
