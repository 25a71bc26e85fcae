"""Runs one scenario with one policy."""

import random
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple

import trio
from trio.testing import MockClock

from bench.policy.central_queue import NOISY, CentralQueue
from bench.policy.deployment import SERVICE, Deployment
from bench.policy.deployment_size import DeploymentSize
from bench.policy.host import Host
from bench.policy.memory_dispatcher import MemoryDispatcher
from bench.policy.policies import ADAPTIVE, OMNISCIENT, make_router
from bench.policy.probe_tasks import make_probe_tasks
from bench.policy.result import Result
from bench.policy.scenario import Scenario
from bench.policy.warm_up import WarmUp
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import BytesBody, Request, Response
from rhubarbpaddle.execution.gateway import Gateway

_TIMEOUT_SECONDS = 0.25
# Gamma distributed work of this shape has a coefficient of variation of 0.5.
# With exponential work, the tail of the work would hide all differences at p99.
_WORK_SHAPE = 4.0
_DRAIN_SECONDS = 1.0


class _Arrival(NamedTuple):
    time: float
    host: str
    tenant: str
    work_seconds: float


class _Record(NamedTuple):
    arrival: _Arrival
    latency: float
    succeeded: bool


class Run:
    """Sends the requests of a scenario through a policy."""

    def __init__(
        self, size: DeploymentSize, scenario: Scenario, policy: str, seed: int
    ):
        self._size = size
        self._scenario = scenario
        self._policy = policy
        self._seed = seed
        self._records: list[_Record] = []
        self._attempts = 0
        self._probe_share = 0.0

    def measure(self) -> Result:
        """Runs the scenario in virtual time and returns its result."""
        # Trio runs tasks in random order. Unless the seed determines it, p99
        # differs by a third between runs with overlapping faults.
        trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
        trio._core._run._r.seed(self._seed)
        trio.run(self._run, clock=MockClock(autojump_threshold=0))
        return self._summarize()

    async def _run(self) -> None:
        rng = random.Random(f"{self._seed} policy")
        async with trio.open_nursery() as nursery:
            adaptive = self._policy == ADAPTIVE
            deployment = Deployment(self._size, nursery, rng, adaptive)
            await trio.sleep(0.1)
            central_queue = CentralQueue(deployment)
            gateways = {}
            for host in deployment.hosts.values():
                gateways[host.name] = self._make_gateway(deployment, host)
            if self._policy != OMNISCIENT:
                await WarmUp(deployment, gateways, rng).run()
            if adaptive:
                for task in make_probe_tasks(deployment):
                    nursery.start_soon(task.run)
            self._attempts = 0
            start = trio.current_time()
            for time, apply_change in self._scenario.events:
                nursery.start_soon(
                    self._apply_event, start + time, apply_change, deployment
                )
            for arrival in self._make_arrivals():
                await trio.sleep_until(start + arrival.time)
                host = deployment.hosts[arrival.host]
                request = self._make_request(arrival)
                body = BytesBody(b"")
                context: AbstractAsyncContextManager[Response]
                if self._policy == OMNISCIENT:
                    central_queue.wake()
                    context = central_queue.handle(host, request, body)
                else:
                    context = gateways[host.name].handle(request, body)
                nursery.start_soon(self._send, arrival, context)
            await trio.sleep(_DRAIN_SECONDS)
            self._probe_share = sum(
                host.upstream.probe_seconds
                for host in deployment.get_upstream_hosts()
            ) / (
                len(deployment.get_upstream_hosts())
                * (trio.current_time() - start)
            )
            nursery.cancel_scope.cancel()

    async def _apply_event(
        self, time, apply_change, deployment: Deployment
    ) -> None:
        await trio.sleep_until(time)
        apply_change(deployment)

    async def _send(
        self, arrival: _Arrival, context: AbstractAsyncContextManager[Response]
    ) -> None:
        started = trio.current_time()
        succeeded = False
        try:
            async with context as response:
                succeeded = response.status == 200
        except RefusedError:
            pass
        latency = trio.current_time() - started
        self._records.append(_Record(arrival, latency, succeeded))

    def _make_gateway(self, deployment: Deployment, host: Host) -> Gateway:
        rng = random.Random(f"{self._seed} {host.name}")
        if self._policy == OMNISCIENT:
            return None  # type: ignore[return-value]
        dispatcher = MemoryDispatcher(
            host, deployment.hosts, self._size.cross_zone_seconds
        )
        router = make_router(self._policy, deployment, host, rng)
        original_record_start = router.record_start

        def record_start(candidate):
            self._attempts += 1
            original_record_start(candidate)

        router.record_start = record_start
        return Gateway(
            router, dispatcher, deployment.clock, lambda: host.accepted
        )

    def _make_request(self, arrival: _Arrival) -> Request:
        return Request(
            request_id="r",
            tenant=arrival.tenant,
            service=SERVICE,
            method="GET",
            target=repr(arrival.work_seconds),
            headers=[],
            deadline=trio.current_time() + _TIMEOUT_SECONDS,
            idempotent=True,
        )

    def _make_arrivals(self) -> list[_Arrival]:
        """Draws the same Poisson arrivals for each policy."""
        rng = random.Random(f"{self._seed} arrivals")
        capacity = self._size.capacity
        scenario = self._scenario
        quiet_times = self._draw_times(
            rng, scenario.load * capacity, 0, scenario.seconds
        )
        arrivals = [
            self._make_arrival(rng, time, f"t{rng.randrange(4)}")
            for time in quiet_times
            if rng.random() < scenario.load_factor(time)
        ]
        start, end, load = scenario.noisy_load
        for time in self._draw_times(rng, load * capacity, start, end):
            arrivals.append(self._make_arrival(rng, time, NOISY))
        return sorted(arrivals)

    def _draw_times(
        self, rng: random.Random, rate: float, start: float, end: float
    ) -> list[float]:
        times = []
        time = start
        while rate > 0:
            time += rng.expovariate(rate)
            if time >= end:
                break
            # Skip to the next time at which the scenario sends requests.
            if self._scenario.load_factor(time) == 0:
                time = time // 100.0 * 100.0 + 100.0
                continue
            times.append(time)
        return times

    def _make_arrival(
        self, rng: random.Random, time: float, tenant: str
    ) -> _Arrival:
        host = f"n{rng.randrange(self._size.nodes)}"
        work_seconds = rng.gammavariate(
            _WORK_SHAPE, self._size.mean_work_seconds / _WORK_SHAPE
        )
        return _Arrival(time, host, tenant, work_seconds)

    def _summarize(self) -> Result:
        quiet_records = [r for r in self._records if r.arrival.tenant != NOISY]
        latencies = sorted(r.latency for r in quiet_records if r.succeeded)
        noisy_records = [r for r in self._records if r.arrival.tenant == NOISY]
        noisy_latencies = sorted(
            r.latency for r in noisy_records if r.succeeded
        )
        start, end = self._scenario.withdrawal_window
        withdrawal_records = [
            r for r in quiet_records if start <= r.arrival.time < end
        ]
        successes = sum(r.succeeded for r in self._records)

        return Result(
            p50=_get_percentile(latencies, 0.5),
            p99=_get_percentile(latencies, 0.99),
            p999=_get_percentile(latencies, 0.999),
            refused=1 - len(latencies) / len(quiet_records),
            goodput=successes / self._scenario.seconds,
            withdrawal=(
                sum(r.succeeded for r in withdrawal_records)
                / len(withdrawal_records)
                if withdrawal_records
                else 1.0
            ),
            tries=self._attempts / len(self._records),
            measuring=self._probe_share,
            noisy_p99=_get_percentile(noisy_latencies, 0.99),
            noisy_refused=(
                1 - len(noisy_latencies) / len(noisy_records)
                if noisy_records
                else 0.0
            ),
        )


def _get_percentile(ordered: list[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
