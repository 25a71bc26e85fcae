"""Sends requests to a stand-in upstream through an admission."""

import random
from collections import Counter, defaultdict

import trio

from rhubarbpaddle.admission import Admission, Ticket
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import NO_EVIDENCE, Evidence, EvidenceKind
from standins.http_server import StandinRequest
from standins.upstream import Upstream

_REQUEST = StandinRequest("GET", "/availability", {}, b"")


class Load:
    """Runs requests as the sidecar would, without a network.

    Attributes:
        latencies: Seconds from the request to its answer, by tenant.
        ends: How often requests ended in each way.
    """

    def __init__(self, admission: Admission, upstream: Upstream) -> None:
        self.latencies: defaultdict[str, list[float]] = defaultdict(list)
        self.ends: Counter[str] = Counter()
        self._admission = admission
        self._upstream = upstream

    async def run_closed(self, tenant: str, count: int) -> None:
        """Keeps a number of requests outstanding until cancelled."""

        async def repeat() -> None:
            while True:
                if not await self.send(tenant, 1.0):
                    await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(repeat)

    async def run_open(self, tenant: str, rate: float, seed: int) -> None:
        """Sends requests at random times until cancelled."""
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(rng.expovariate(rate))
                nursery.start_soon(self.send, tenant, 1.0)

    async def send(self, tenant: str, timeout: float) -> bool:
        """Sends one request; returns whether it was answered."""
        started = trio.current_time()
        try:
            slot = await self._admission.acquire(
                Ticket(tenant, started + timeout, True)
            )
        except RefusedError as exc:
            self.ends[exc.code] += 1
            return False
        entered = trio.current_time()
        evidence = NO_EVIDENCE
        try:
            with trio.move_on_at(started + timeout) as scope:
                response = await self._upstream.handle(_REQUEST)
                latency = trio.current_time() - entered
                evidence = _judge(response.status, latency)
            if scope.cancelled_caught:
                evidence = Evidence(EvidenceKind.TIMED_OUT)
        finally:
            slot.release(evidence)
        self.ends[evidence.kind.value] += 1
        if evidence.kind is not EvidenceKind.ANSWERED:
            return False
        self.latencies[tenant].append(trio.current_time() - started)
        return True


def _judge(status: int, latency: float) -> Evidence:
    if status in (429, 503):
        return Evidence(EvidenceKind.SHED)
    if status >= 500:
        return Evidence(EvidenceKind.FAILED)
    return Evidence(EvidenceKind.ANSWERED, latency)
