"""Generates claims at a given rate for all partitions."""

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
    """The results of one load.

    Attributes:
        outcomes: The number of claims that were granted, and of those that were
            refused, by code and outcome of the refusal.
        latencies: Seconds from the scheduled time of a claim to its grant,
            sorted.
        seconds: The time until the last claim was granted or refused.
    """

    outcomes: Counter[str]
    latencies: list[float]
    seconds: float

    def get_percentile_ms(self, fraction: float) -> float:
        """Returns a percentile of the latencies in milliseconds.

        Args:
            fraction: The percentile as a fraction, for example 0.99.
        """
        if not self.latencies:
            return float("nan")
        index = min(
            int(len(self.latencies) * fraction), len(self.latencies) - 1
        )
        return self.latencies[index] * 1000


class ClaimsLoad:
    """Claims new keys at random times, as the owner of all partitions."""

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
        """Claims new keys and waits until all are granted or refused.

        Args:
            rate: The mean number of claims per second.
            seconds: The duration of the load.
        """
        outcomes: Counter[str] = Counter()
        latencies: list[float] = []
        started_at = trio.current_time()
        due_at = started_at
        async with trio.open_nursery() as nursery:
            while due_at < started_at + seconds:
                await trio.sleep_until(due_at)
                nursery.start_soon(self._claim, due_at, outcomes, latencies)
                due_at += self._rng.expovariate(rate)
        elapsed = trio.current_time() - started_at
        return LoadResult(outcomes, sorted(latencies), elapsed)

    async def _claim(
        self, due_at: float, outcomes: Counter[str], latencies: list[float]
    ) -> None:
        record = make_claim(to_ms(self.clock.now()))
        task = self._tasks[get_partition(record.key)]
        try:
            await task.submit(record)
        except RefusedError as exc:
            outcomes[f"{exc.code} {exc.outcome}"] += 1
        else:
            outcomes["granted"] += 1
            latencies.append(trio.current_time() - due_at)


def make_claim(now_ms: int) -> ClaimRecord:
    """Returns a claim for a new random key."""
    return ClaimRecord(
        key=secrets.token_bytes(16),
        claim_id=secrets.token_bytes(16),
        fingerprint=secrets.token_bytes(16),
        key_ms=now_ms,
        deadline_ms=now_ms + 10_000,
        expires_ms=now_ms + 3_720_000,
    )
