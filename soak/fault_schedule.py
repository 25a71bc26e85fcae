"""Causes faults in overlapping series."""

import signal
from collections.abc import Awaitable, Callable

import trio

from soak.deployment import CONFIG_SECONDS, ZONES, SoakWorld
from soak.host import SoakHost
from soak.records import Fault

_DRAIN_SECONDS = 2.0
_WITHDRAW_SECONDS = 5.0
_MAX_TOGETHER = 3

HostFault = Callable[[SoakHost], Awaitable[None]]


class FaultSchedule:
    """Draws faults from the world's source of chance."""

    def __init__(self, world: SoakWorld, only_planned: bool) -> None:
        """Makes a schedule.

        Args:
            world: What is harmed.
            only_planned: Whether only planned work is drawn, so that no
                request may be cut.
        """
        self._world = world
        self._rng = world.rng
        self._busy: set[str] = set()
        self._withdrawn: set[str] = set()
        planned: list[HostFault] = [
            self._stop_node,
            self._reload_node,
            self._change_configuration,
            self._replace_instance,
            self._withdraw_zone,
        ]
        unplanned: list[HostFault] = [
            self._kill_node,
            self._pause_node,
            self._crash_instance,
            self._refuse_at_store,
            self._lose_store_answers,
            self._silence_store,
            self._reset_links,
            self._silence_links,
            self._delay_links,
            self._block_one_way,
        ]
        self._planned = {fault.__name__ for fault in planned}
        self._kinds = planned if only_planned else planned + unplanned

    async def run(self) -> None:
        """Starts series of faults until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for _ in range(self._rng.randint(1, _MAX_TOGETHER)):
                    kind = self._rng.choice(self._kinds)
                    host = self._rng.choice(self._world.hosts)
                    if host.name not in self._busy:
                        self._busy.add(host.name)
                        nursery.start_soon(self._cause, kind, host)
                await trio.sleep(self._rng.uniform(0.2, 2.0))

    async def _cause(self, kind: HostFault, host: SoakHost) -> None:
        started = trio.current_time()
        index = len(self._world.faults)
        fault = Fault(
            kind.__name__.strip("_"),
            host.name,
            started,
            float("inf"),
            kind.__name__ in self._planned,
        )
        self._world.faults.append(fault)
        # A fault that has begun is ended also when the run is over.
        with trio.CancelScope(shield=True):
            await kind(host)
        ended = trio.current_time()
        self._world.faults[index] = fault._replace(ended_at=ended)
        self._busy.discard(host.name)

    async def _stop_node(self, host: SoakHost) -> None:
        stopped = trio.current_time()
        host.signal(signal.SIGTERM)
        if not await host.wait_for_exit():
            self._world.late_exits.append((host.name, stopped))
        host.start_node()

    async def _reload_node(self, host: SoakHost) -> None:
        host.signal(signal.SIGHUP)

    async def _change_configuration(self, host: SoakHost) -> None:
        self._world.change_configuration()

    async def _replace_instance(self, host: SoakHost) -> None:
        instance = host.instance
        if instance is None:
            return
        instance.leave()
        await trio.sleep(2 * _DRAIN_SECONDS)
        if instance.left_at is not None:
            end = instance.left_at + _DRAIN_SECONDS
            self._world.left_at[instance.instance] = end
        host.crash_instance()
        await host.start_instance(self._world.nursery)

    async def _withdraw_zone(self, host: SoakHost) -> None:
        zone = self._rng.choice(ZONES)
        # One zone at a time may be lost; the others have to serve.
        if self._withdrawn:
            return
        self._withdrawn.add(zone)
        key = f"evacuate/{zone}"
        start = trio.current_time() + _WITHDRAW_SECONDS
        self._world.store.put("keyed.op", key, b"{}")
        await trio.sleep(_WITHDRAW_SECONDS + 2.0)
        self._world.withdrawals.append((zone, start, trio.current_time()))
        self._world.store.put("keyed.op", key, b"")
        self._withdrawn.discard(zone)

    async def _kill_node(self, host: SoakHost) -> None:
        host.kill()
        await trio.sleep(self._rng.uniform(0.1, 1.0))
        host.start_node()
        await trio.sleep(1.0)

    async def _pause_node(self, host: SoakHost) -> None:
        host.signal(signal.SIGSTOP)
        await trio.sleep(self._rng.uniform(0.2, 4.0))
        host.signal(signal.SIGCONT)

    async def _crash_instance(self, host: SoakHost) -> None:
        host.crash_instance()
        await trio.sleep(self._rng.uniform(0.2, 2.0))
        await host.start_instance(self._world.nursery)

    async def _refuse_at_store(self, host: SoakHost) -> None:
        self._world.store.status = self._rng.choice((429, 503))
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        self._world.store.status = 0
        await trio.sleep(CONFIG_SECONDS)

    async def _lose_store_answers(self, host: SoakHost) -> None:
        self._world.store.loses_answers = True
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        self._world.store.loses_answers = False

    async def _silence_store(self, host: SoakHost) -> None:
        host.to_store.silence()
        await trio.sleep(CONFIG_SECONDS)

    async def _reset_links(self, host: SoakHost) -> None:
        host.to_store.reset()
        host.to_instance.reset()

    async def _silence_links(self, host: SoakHost) -> None:
        host.to_instance.silence()
        await trio.sleep(CONFIG_SECONDS)

    async def _delay_links(self, host: SoakHost) -> None:
        host.to_instance.delay = self._rng.uniform(0.01, 0.2)
        host.to_store.delay = self._rng.uniform(0.01, 0.5)
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        host.to_instance.delay = host.to_store.delay = 0.0

    async def _block_one_way(self, host: SoakHost) -> None:
        proxy = self._rng.choice((host.to_instance, host.to_store))
        proxy.block(self._rng.random() < 0.5)
        await trio.sleep(self._rng.uniform(0.5, 3.0))
        proxy.unblock()
