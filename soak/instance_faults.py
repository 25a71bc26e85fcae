"""Injects faults of instances and of those who write in their name."""

import random
import signal
import time
from collections.abc import Awaitable, Callable

import trio

from soak.deployment import SoakDeployment
from soak.host import SoakHost
from soak.records import Fault

_DRAIN_SECONDS = 2.0
# How long a departed instance serves after its node was started again.
_SERVING_SECONDS = 3.0
_MAX_REPORT_DELAY_SECONDS = 2.0
_MAX_ODD_REPORTS = 5
_UNENCODABLE = ("v1-\ud83d", "\udc00", "\ud800\ud800v2")


class InstanceFaults:
    """Makes instances depart, return, and send odd reports and responses."""

    def __init__(
        self, deployment: SoakDeployment, busy_hosts: set[str], seed: int
    ) -> None:
        """Creates faults that are not injected yet.

        Args:
            deployment: The deployment that receives the faults.
            busy_hosts: The names of the hosts that have a fault; shared with
                the other faults of the run.
            seed: The seed of the run.
        """
        self._deployment = deployment
        self._busy_hosts = busy_hosts
        self._rng = random.Random(f"instances-{seed}")
        self._text_rng = random.Random(f"texts-{seed}")
        self._injectors: list[Callable[[SoakHost], Awaitable[None]]] = [
            self._depart_around_restart,
            self._send_odd_reports,
            self._truncate_responses,
            self._return_cold,
            self._respond_endlessly,
        ]

    async def run(self) -> None:
        """Starts faults at random intervals until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self._rng.uniform(0.5, 3.0))
                injector = self._rng.choice(self._injectors)
                host = self._rng.choice(self._deployment.hosts)
                if host.name not in self._busy_hosts and host.instance:
                    self._busy_hosts.add(host.name)
                    nursery.start_soon(self._inject, injector, host)

    async def _inject(
        self, injector: Callable[[SoakHost], Awaitable[None]], host: SoakHost
    ) -> None:
        fault = Fault(
            injector.__name__.strip("_"),
            host.name,
            trio.current_time(),
            float("inf"),
            is_planned=False,
            permits_failures=injector != self._send_odd_reports,
        )
        index = len(self._deployment.faults)
        self._deployment.faults.append(fault)
        # Shielded so that a fault is undone even if the run ends meanwhile.
        with trio.CancelScope(shield=True):
            await injector(host)
        self._deployment.faults[index] = fault._replace(
            ended_at=trio.current_time()
        )
        self._busy_hosts.discard(host.name)

    async def _depart_around_restart(self, host: SoakHost) -> None:
        """Restarts the node after a departure; a report from before follows."""
        instance = host.instance
        assert instance is not None
        late_report = instance.make_report()
        deregisters = self._rng.random() < 0.5
        # Health answers may be false.
        instance.server.healthy = self._rng.random() < 0.3
        if await instance.depart(deregisters=deregisters):
            self._deployment.drain_deadlines[instance.instance_id] = (
                trio.current_time() + _DRAIN_SECONDS
            )
        for _ in range(self._rng.randint(1, 2)):
            await trio.sleep(self._rng.uniform(0.0, 0.6))
            if self._rng.random() < 0.3:
                host.send_signal(signal.SIGTERM)
                await host.wait_for_exit()
            else:
                host.kill()
            await trio.sleep(self._rng.uniform(0.1, 0.8))
            host.start_node()
        await trio.sleep(self._rng.uniform(0.0, _MAX_REPORT_DELAY_SECONDS))
        await instance.send("heartbeat", late_report)
        await trio.sleep(_SERVING_SECONDS)
        host.crash_instance()
        await host.start_instance(self._deployment.nursery)

    async def _send_odd_reports(self, host: SoakHost) -> None:
        instance = host.instance
        assert instance is not None
        for _ in range(self._rng.randint(1, _MAX_ODD_REPORTS)):
            report = instance.make_report() | {
                "service": self._rng.choice(("unnamed", "", 7)),
                "born": int(time.time() * 1000) + self._rng.randint(0, 200_000),
                "seq": self._rng.choice((1, 10**6)),
                "state": self._rng.choice(("ready", "draining")),
            }
            name = self._rng.choice((instance.instance_id, "i-other"))
            await instance.send("heartbeat", report, name)
            # A report of a new start of the instance, except for its version.
            changes = {
                "version": self._text_rng.choice(_UNENCODABLE),
                "born": int(time.time() * 1000),
                "seq": 1,
            }
            await instance.send(
                "heartbeat", instance.make_report() | changes, name
            )
            if name == "i-other" and self._text_rng.random() < 0.5:
                await instance.send("deregister", {}, name)

    async def _truncate_responses(self, host: SoakHost) -> None:
        instance = host.instance
        assert instance is not None
        instance.server.truncated_length = self._rng.choice((-1, 0, 40))
        await trio.sleep(self._rng.uniform(0.2, 1.0))
        instance.server.truncated_length = None

    async def _return_cold(self, host: SoakHost) -> None:
        """Crashes the instance, which starts again under its id."""
        host.crash_instance()
        await trio.sleep(self._rng.uniform(0.2, 2.0))
        await host.start_instance(self._deployment.nursery, keeps_id=True)

    async def _respond_endlessly(self, host: SoakHost) -> None:
        instance = host.instance
        assert instance is not None
        size = self._rng.choice((1, 2, 7))
        instance.server.endless_chunk = b"%x\r\n%b\r\n" % (size, bytes(size))
        await trio.sleep(self._rng.uniform(0.2, 1.0))
        instance.server.endless_chunk = b""
