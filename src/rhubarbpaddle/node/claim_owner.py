"""Runs the claim partitions that this node owns."""

import random
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.claim_held import ClaimHeld
from rhubarbpaddle.execution.claim_ledger import LogRecord
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_partitions import (
    PARTITIONS,
    ClaimPartitions,
    get_partition,
)
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease
from rhubarbpaddle.log import LogClient
from rhubarbpaddle.node.claim_partition_task import ClaimPartitionTask
from rhubarbpaddle.node.log_loss_detector import LogLossDetector

_CHECK_INTERVAL = timedelta(milliseconds=500)
# The task of a partition that is no longer owned is cancelled, and its memory
# freed, after this time without a request.
_IDLE_TIMEOUT_SECONDS = 10.0


class ClaimOwner:
    """Runs one task for each claim partition that this node owns.

    Requests for a partition that another node owns are served too, because a
    gateway's member table may differ from this node's.
    """

    def __init__(
        self,
        node_id: str,
        partitions: ClaimPartitions,
        log: LogClient,
        loss_detector: LogLossDetector,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._node_id = node_id
        self._partitions = partitions
        self._log = log
        self._loss_detector = loss_detector
        self._clock = clock
        self._rng = rng
        self._tasks: dict[int, ClaimPartitionTask] = {}
        self._scopes: dict[int, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Starts and stops tasks as ownership changes, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                for partition in range(PARTITIONS):
                    self._update_task(partition)
                await self._clock.sleep(_CHECK_INTERVAL)

    async def claim(self, record: ClaimRecord) -> ClaimHeld | None:
        """Claims a key; see `ClaimStore`."""
        return await self._get_task(record).submit(record)

    async def report(self, record: ClaimOutcome | ClaimRelease) -> None:
        """Records the outcome or release of a claim; see `ClaimStore`."""
        await self._get_task(record).submit(record)

    def _get_task(self, record: LogRecord) -> ClaimPartitionTask:
        return self._get_or_start_task(get_partition(record.key))

    def _update_task(self, partition: int) -> None:
        owners = self._partitions.get_owners(partition)
        if owners and owners[0].node_id == self._node_id:
            self._get_or_start_task(partition)
        elif partition in self._tasks:
            idle_seconds = (
                self._clock.monotonic() - self._tasks[partition].last_used_at
            )
            if idle_seconds > _IDLE_TIMEOUT_SECONDS:
                del self._tasks[partition]
                self._scopes.pop(partition).cancel()

    def _get_or_start_task(self, partition: int) -> ClaimPartitionTask:
        task = self._tasks.get(partition)
        if task is None:
            assert self._nursery is not None
            task = ClaimPartitionTask(
                partition,
                self._log,
                self._loss_detector,
                self._clock,
                self._rng,
            )
            scope = trio.CancelScope()
            self._tasks[partition] = task
            self._scopes[partition] = scope
            self._nursery.start_soon(_run_in_scope, scope, task)
        return task


async def _run_in_scope(
    scope: trio.CancelScope, task: ClaimPartitionTask
) -> None:
    with scope:
        await task.run()
