"""Claims at a given rate over all partitions."""

import random
import secrets
from collections import Counter
from typing import NamedTuple

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.claim_key import to_ms
from rhubarbpaddle.execution.claim_partitions import PARTITIONS, get_partition
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.claim_partition_task import ClaimPartitionTask
from rhubarbpaddle.node.configuration_stream_loss_detector import (
    ConfigurationStreamLossDetector,
)
from rhubarbpaddle.system_clock import SystemClock


class LoadResult(NamedTuple):
    """What a load saw.

    Attributes:
        answers: How many claims were granted or refused, by code and outcome.
        latencies: Seconds from request to grant, sorted.
        seconds: Time from the first request to the last answer.
    """

    answers: Counter[str]
    latencies: list[float]
    seconds: float

    def get_ms(self, share: float) -> float:
        """Returns a percentile of the latencies in ms."""
        if not self.latencies:
            return float("nan")
        index = min(int(len(self.latencies) * share), len(self.latencies) - 1)
        return self.latencies[index] * 1000


class ClaimsLoad:
    """Owns all partitions and claims new keys at random moments."""

    def __init__(self, log: LogClient, nursery: trio.Nursery) -> None:
        self.clock: Clock = SystemClock()
        self._rng = random.Random(1)
        self._tasks = [
            ClaimPartitionTask(
                index,
                log,
                ConfigurationStreamLossDetector(log, lambda: 0),
                self.clock,
                self._rng,
            )
            for index in range(PARTITIONS)
        ]
        for task in self._tasks:
            nursery.start_soon(task.run)

    async def run(self, rate: float, seconds: float) -> LoadResult:
        """Claims `rate` keys a second for a time."""
        answers: Counter[str] = Counter()
        latencies: list[float] = []
        started = trio.current_time()
        due = started
        async with trio.open_nursery() as nursery:
            while due < started + seconds:
                await trio.sleep_until(due)
                nursery.start_soon(self._claim, due, answers, latencies)
                due += self._rng.expovariate(rate)
        elapsed = trio.current_time() - started
        return LoadResult(answers, sorted(latencies), elapsed)

    async def _claim(
        self, due: float, answers: Counter[str], latencies: list[float]
    ) -> None:
        record = make_claim(to_ms(self.clock.now()))
        task = self._tasks[get_partition(record.key)]
        try:
            await task.submit(record)
        except RefusedError as exc:
            answers[f"{exc.code} {exc.outcome}"] += 1
        else:
            answers["granted"] += 1
            latencies.append(trio.current_time() - due)


def make_claim(now_ms: int) -> ClaimRecord:
    """Returns the claim of a new key."""
    return ClaimRecord(
        key=secrets.token_bytes(16),
        claim_id=secrets.token_bytes(16),
        fingerprint=secrets.token_bytes(16),
        key_ms=now_ms,
        deadline_ms=now_ms + 10_000,
        expires_ms=now_ms + 3_720_000,
    )
