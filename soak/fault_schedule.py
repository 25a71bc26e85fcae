"""Injects overlapping random faults."""

import random
import signal
from collections.abc import Awaitable, Callable

import trio

from soak.configuration_history import CONFIGURATION_DELAY_SECONDS
from soak.deployment import ZONES, SoakDeployment
from soak.host import SoakHost
from soak.instance_faults import InstanceFaults
from soak.records import Fault
from soak.store_drills import StoreDrills

_DRAIN_SECONDS = 2.0
_WITHDRAWAL_SECONDS = 5.0
_MAX_FAULTS_PER_ROUND = 3
# Every second of the seeds with unplanned faults has drills of the store.
_SEEDS_PER_DRILLS = 2
_DRILLS_REMAINDER = 1

FaultInjector = Callable[[SoakHost], Awaitable[None]]


class FaultSchedule:
    """Injects random faults into a deployment.

    Attributes:
        busy_hosts: The names of the hosts that have a fault.
    """

    def __init__(
        self, deployment: SoakDeployment, planned_only: bool, seed: int
    ) -> None:
        """Creates a schedule.

        Args:
            deployment: The deployment that receives the faults.
            planned_only: Whether to run only planned operations, during which
                no request may be lost.
            seed: The seed of the run.
        """
        self._deployment = deployment
        self._rng = deployment.rng
        self.busy_hosts: set[str] = set()
        self._withdrawn_zones: set[str] = set()
        planned: list[FaultInjector] = [
            self._stop_node,
            self._reload_node,
            self._change_configuration,
            self._replace_instance,
            self._withdraw_zone,
        ]
        unplanned: list[FaultInjector] = [
            self._kill_node,
            self._pause_node,
            self._crash_instance,
            self._reject_store_calls,
            self._lose_store_responses,
            self._silence_store_connections,
            self._reset_connections,
            self._silence_instance_connections,
            self._delay_connections,
            self._block_one_direction,
        ]
        self._planned_names = {injector.__name__ for injector in planned}
        self._injectors = planned if planned_only else planned + unplanned
        self._has_unplanned = not planned_only
        self._has_drills = self._has_unplanned and (
            seed % _SEEDS_PER_DRILLS == _DRILLS_REMAINDER
        )
        self._drills = StoreDrills(deployment, seed)
        # The other faults of a seed stay the same.
        self._silence_rng = random.Random(seed)
        self._instance_faults = InstanceFaults(
            deployment, self.busy_hosts, seed
        )

    async def run(self) -> None:
        """Starts faults at random intervals until cancelled."""
        async with trio.open_nursery() as nursery:
            if self._has_drills:
                nursery.start_soon(self._drills.run)
            if self._has_unplanned:
                nursery.start_soon(self._silence_store_repeatedly)
                nursery.start_soon(self._instance_faults.run)
            while True:
                for _ in range(self._rng.randint(1, _MAX_FAULTS_PER_ROUND)):
                    injector = self._rng.choice(self._injectors)
                    host = self._rng.choice(self._deployment.hosts)
                    if host.name not in self.busy_hosts:
                        self.busy_hosts.add(host.name)
                        nursery.start_soon(self._inject, injector, host)
                await trio.sleep(self._rng.uniform(0.2, 2.0))

    async def _silence_store_repeatedly(self) -> None:
        """Silences the store's connections of all hosts around changes.

        New connections work, so a change must come into force in time.
        """
        deployment = self._deployment
        while True:
            await trio.sleep(self._silence_rng.uniform(2.0, 5.0))
            started_at = trio.current_time()
            for host in deployment.hosts:
                host.store_proxy.silence()
            await trio.sleep(self._silence_rng.uniform(0.0, 0.5))
            deployment.change_configuration()
            deployment.faults.append(
                Fault(
                    "silence_store",
                    "all",
                    started_at,
                    trio.current_time(),
                    is_planned=False,
                    permits_failures=False,
                )
            )

    async def _inject(self, injector: FaultInjector, host: SoakHost) -> None:
        started_at = trio.current_time()
        index = len(self._deployment.faults)
        fault = Fault(
            injector.__name__.strip("_"),
            host.name,
            started_at,
            float("inf"),
            injector.__name__ in self._planned_names,
        )
        self._deployment.faults.append(fault)
        # Shielded so that a fault is undone even if the run ends meanwhile.
        with trio.CancelScope(shield=True):
            await injector(host)
        ended_at = trio.current_time()
        self._deployment.faults[index] = fault._replace(ended_at=ended_at)
        self.busy_hosts.discard(host.name)

    async def _stop_node(self, host: SoakHost) -> None:
        stopped_at = trio.current_time()
        host.send_signal(signal.SIGTERM)
        if not await host.wait_for_exit():
            self._deployment.late_exits.append((host.name, stopped_at))
        host.start_node()

    async def _reload_node(self, host: SoakHost) -> None:
        if await host.reload_node():
            # A known fault that no program can prevent, see KNOWN-RED.txt. It
            # is counted by its own name, and the node has to recover.
            now = trio.current_time()
            self._deployment.faults.append(
                Fault(
                    "reload_before_first_line",
                    host.name,
                    now,
                    now,
                    is_planned=True,
                )
            )
            host.start_node()

    async def _change_configuration(self, host: SoakHost) -> None:
        self._deployment.change_configuration()

    async def _replace_instance(self, host: SoakHost) -> None:
        instance = host.instance
        if instance is None:
            return
        instance.leave()
        await trio.sleep(2 * _DRAIN_SECONDS)
        if instance.departure_acknowledged_at is not None:
            deadline = instance.departure_acknowledged_at + _DRAIN_SECONDS
            self._deployment.drain_deadlines[instance.instance_id] = deadline
        host.crash_instance()
        await host.start_instance(self._deployment.nursery)

    async def _withdraw_zone(self, host: SoakHost) -> None:
        zone = self._rng.choice(ZONES)
        # At most one zone is out of service, so that the others can serve.
        if self._withdrawn_zones:
            return
        self._withdrawn_zones.add(zone)
        key = f"evacuate/{zone}"
        effective_at = trio.current_time() + _WITHDRAWAL_SECONDS
        self._deployment.store.put("keyed.op", key, b"{}")
        await trio.sleep(_WITHDRAWAL_SECONDS + 2.0)
        self._deployment.withdrawals.append(
            (zone, effective_at, trio.current_time())
        )
        self._deployment.store.put("keyed.op", key, b"")
        self._withdrawn_zones.discard(zone)

    async def _kill_node(self, host: SoakHost) -> None:
        host.kill()
        await trio.sleep(self._rng.uniform(0.1, 1.0))
        host.start_node()
        await trio.sleep(1.0)

    async def _pause_node(self, host: SoakHost) -> None:
        host.send_signal(signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(0.2, 4.0))
        host.send_signal(signal.SIGCONT)

    async def _crash_instance(self, host: SoakHost) -> None:
        host.crash_instance()
        await trio.sleep(self._rng.uniform(0.2, 2.0))
        await host.start_instance(self._deployment.nursery)

    async def _reject_store_calls(self, host: SoakHost) -> None:
        self._deployment.store.status = self._rng.choice((429, 503))
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        self._deployment.store.status = 0
        await trio.sleep(CONFIGURATION_DELAY_SECONDS)

    async def _lose_store_responses(self, host: SoakHost) -> None:
        self._deployment.store.loses_responses = True
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        self._deployment.store.loses_responses = False

    async def _silence_store_connections(self, host: SoakHost) -> None:
        host.store_proxy.silence()
        await trio.sleep(CONFIGURATION_DELAY_SECONDS)

    async def _reset_connections(self, host: SoakHost) -> None:
        host.store_proxy.reset()
        host.instance_proxy.reset()

    async def _silence_instance_connections(self, host: SoakHost) -> None:
        host.instance_proxy.silence()
        await trio.sleep(CONFIGURATION_DELAY_SECONDS)

    async def _delay_connections(self, host: SoakHost) -> None:
        host.instance_proxy.delay = self._rng.uniform(0.01, 0.2)
        host.store_proxy.delay = self._rng.uniform(0.01, 0.5)
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        host.instance_proxy.delay = host.store_proxy.delay = 0.0

    async def _block_one_direction(self, host: SoakHost) -> None:
        proxy = self._rng.choice((host.instance_proxy, host.store_proxy))
        proxy.block(self._rng.random() < 0.5)
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.unblock()
