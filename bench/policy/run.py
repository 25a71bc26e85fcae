"""One run of one policy."""

import random
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple

import trio
from trio.testing import MockClock

from bench.policy.central_queue import NOISY, CentralQueue
from bench.policy.deployment import SERVICE, Deployment
from bench.policy.deployment_size import Size
from bench.policy.host import Host
from bench.policy.memory_dispatcher import MemoryDispatcher
from bench.policy.policies import LIMIT, POLICY, make_router
from bench.policy.probe_tasks import make_probe_tasks
from bench.policy.result import Result
from bench.policy.scenario import Scene
from bench.policy.warm_up import WarmUp
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request, Response
from rhubarbpaddle.execution.gateway import Gateway

_TIMEOUT = 0.25
# Gamma distributed work with a coefficient of variation of 0.5. With
# exponential work the tail of the work itself hides all differences at p99.
_WORK_SHAPE = 4.0
_DRAIN_SECONDS = 1.0


class _Arrival(NamedTuple):
    time: float
    host: str
    tenant: str
    work: float


class _Record(NamedTuple):
    arrival: _Arrival
    latency: float
    good: bool


class Run:
    """Sends the arrivals of a scene through a policy."""

    def __init__(self, size: Size, scene: Scene, policy: str, seed: int):
        self._size = size
        self._scene = scene
        self._policy = policy
        self._seed = seed
        self._records: list[_Record] = []
        self._tries = 0
        self._probing = 0.0

    def measure(self) -> Result:
        """Runs the scene in virtual time and returns its figures."""
        # Trio shuffles runnable tasks. Without an order from the seed, two runs
        # of the overlapping faults differ by a third at p99.
        trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio._core._run._r.seed(self._seed)
        trio.run(self._run, clock=MockClock(autojump_threshold=0))
        return self._summarize()

    async def _run(self) -> None:
        rng = random.Random(f"{self._seed} policy")
        async with trio.open_nursery() as nursery:
            adaptive = self._policy == POLICY
            deployment = Deployment(self._size, nursery, rng, adaptive)
            await trio.sleep(0.1)
            central = CentralQueue(deployment)
            gateways = {}
            for host in deployment.hosts.values():
                gateways[host.name] = self._make_gateway(deployment, host)
            if self._policy != LIMIT:
                await WarmUp(deployment, gateways, rng).run()
            if adaptive:
                for task in make_probe_tasks(deployment):
                    nursery.start_soon(task.run)
            self._tries = 0
            start = trio.current_time()
            for time, change in self._scene.events:
                nursery.start_soon(
                    self._change, start + time, change, deployment
                )
            for arrival in self._make_arrivals():
                await trio.sleep_until(start + arrival.time)
                host = deployment.hosts[arrival.host]
                request = self._make_request(arrival)
                body = BytesBody(b"")
                context: AbstractAsyncContextManager[Response]
                if self._policy == LIMIT:
                    central.wake()
                    context = central.handle(host, request, body)
                else:
                    context = gateways[host.name].handle(request, body)
                nursery.start_soon(self._send, arrival, context)
            await trio.sleep(_DRAIN_SECONDS)
            self._probing = sum(
                host.upstream.probe_seconds
                for host in deployment.get_instances()
            ) / (
                len(deployment.get_instances()) * (trio.current_time() - start)
            )
            nursery.cancel_scope.cancel()

    async def _change(self, time, change, deployment: Deployment) -> None:
        await trio.sleep_until(time)
        change(deployment)

    async def _send(
        self, arrival: _Arrival, context: AbstractAsyncContextManager[Response]
    ) -> None:
        started = trio.current_time()
        good = False
        try:
            async with context as response:
                good = response.status == 200
        except RefusedError:
            pass
        latency = trio.current_time() - started
        self._records.append(_Record(arrival, latency, good))

    def _make_gateway(self, deployment: Deployment, host: Host) -> Gateway:
        rng = random.Random(f"{self._seed} {host.name}")
        if self._policy == LIMIT:
            return None  # type: ignore[return-value]
        dispatcher = MemoryDispatcher(
            host, deployment.hosts, self._size.one_way
        )
        router = make_router(self._policy, deployment, host, rng)
        counted = router.started

        def started(candidate):
            self._tries += 1
            counted(candidate)

        router.started = started
        return Gateway(
            router, dispatcher, deployment.clock, lambda: host.accepted
        )

    def _make_request(self, arrival: _Arrival) -> Request:
        return Request(
            request_id="r",
            tenant=arrival.tenant,
            service=SERVICE,
            method="GET",
            target=repr(arrival.work),
            headers=[],
            deadline=trio.current_time() + _TIMEOUT,
            idempotent=True,
        )

    def _make_arrivals(self) -> list[_Arrival]:
        """Draws Poisson arrivals, equal for each policy."""
        rng = random.Random(f"{self._seed} arrivals")
        capacity = self._size.capacity
        scene = self._scene
        quiet = self._draw(rng, scene.load * capacity, 0, scene.seconds)
        arrivals = [
            self._arrive(rng, time, f"t{rng.randrange(4)}")
            for time in quiet
            if rng.random() < scene.rate(time)
        ]
        start, end, share = scene.noisy
        for time in self._draw(rng, share * capacity, start, end):
            arrivals.append(self._arrive(rng, time, NOISY))
        return sorted(arrivals)

    def _draw(
        self, rng: random.Random, rate: float, start: float, end: float
    ) -> list[float]:
        times = []
        time = start
        while rate > 0:
            time += rng.expovariate(rate)
            if time >= end:
                break
            # Skips the time in which the scene sends nothing.
            if self._scene.rate(time) == 0:
                time = time // 100.0 * 100.0 + 100.0
                continue
            times.append(time)
        return times

    def _arrive(self, rng: random.Random, time: float, tenant: str) -> _Arrival:
        host = f"n{rng.randrange(self._size.nodes)}"
        work = rng.gammavariate(_WORK_SHAPE, self._size.work / _WORK_SHAPE)
        return _Arrival(time, host, tenant, work)

    def _summarize(self) -> Result:
        quiet = [r for r in self._records if r.arrival.tenant != NOISY]
        latencies = sorted(r.latency for r in quiet if r.good)
        noisy = [r for r in self._records if r.arrival.tenant == NOISY]
        noisy_latencies = sorted(r.latency for r in noisy if r.good)
        start, end = self._scene.window
        window = [r for r in quiet if start <= r.arrival.time < end]
        good = sum(r.good for r in self._records)

        return Result(
            p50=_pick(latencies, 0.5),
            p99=_pick(latencies, 0.99),
            p999=_pick(latencies, 0.999),
            refused=1 - len(latencies) / len(quiet),
            goodput=good / self._scene.seconds,
            withdrawal=(
                sum(r.good for r in window) / len(window) if window else 1.0
            ),
            tries=self._tries / len(self._records),
            measuring=self._probing,
            noisy_p99=_pick(noisy_latencies, 0.99),
            noisy_refused=(
                1 - len(noisy_latencies) / len(noisy) if noisy else 0.0
            ),
        )


def _pick(ordered: list[float], share: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
