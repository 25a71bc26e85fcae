"""Sends requests to a stand-in upstream through an admission."""

import random
from collections import Counter, defaultdict

import trio

from rhubarbpaddle.admission.admission import Admission
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import NO_EVIDENCE, Evidence, EvidenceKind
from standins.http_server import StandinRequest
from standins.upstream import Upstream

_REQUEST = StandinRequest("GET", "/availability", {}, b"")


class LoadGenerator:
    """Runs requests as the sidecar does, without a network.

    Attributes:
        latencies: Seconds from each request to its response, by organisation.
        outcomes: The number of requests by refusal code or kind of evidence.
    """

    def __init__(self, admission: Admission, upstream: Upstream) -> None:
        self.latencies: defaultdict[str, list[float]] = defaultdict(list)
        self.outcomes: Counter[str] = Counter()
        self._admission = admission
        self._upstream = upstream

    async def run_closed_loop(self, organisation: str, count: int) -> None:
        """Keeps a number of requests in flight until cancelled."""

        async def repeat() -> None:
            while True:
                if not await self.send(organisation, 1.0):
                    await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(repeat)

    async def run_open_loop(
        self, organisation: str, rate: float, seed: int
    ) -> None:
        """Sends requests as a Poisson process until cancelled."""
        rng = random.Random(seed)
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(rng.expovariate(rate))
                nursery.start_soon(self.send, organisation, 1.0)

    async def send(self, organisation: str, timeout: float) -> bool:
        """Sends one request and returns whether it succeeded."""
        started_at = trio.current_time()
        try:
            slot = await self._admission.acquire(
                Ticket(organisation, started_at + timeout, True)
            )
        except RefusedError as exc:
            self.outcomes[exc.code] += 1
            return False
        admitted_at = trio.current_time()
        evidence = NO_EVIDENCE
        try:
            with trio.move_on_at(started_at + timeout) as scope:
                response = await self._upstream.handle(_REQUEST)
                latency = trio.current_time() - admitted_at
                evidence = _classify(response.status, latency)
            if scope.cancelled_caught:
                evidence = Evidence(EvidenceKind.TIMED_OUT)
        finally:
            slot.release(evidence)
        self.outcomes[evidence.kind.value] += 1
        if evidence.kind is not EvidenceKind.RESPONDED:
            return False
        self.latencies[organisation].append(trio.current_time() - started_at)
        return True


def _classify(status: int, latency: float) -> Evidence:
    if status in (429, 503):
        return Evidence(EvidenceKind.SHED)
    if status >= 500:
        return Evidence(EvidenceKind.FAILED)
    return Evidence(EvidenceKind.RESPONDED, latency)
