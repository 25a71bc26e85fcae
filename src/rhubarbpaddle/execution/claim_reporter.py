"""Records outcomes and releases of claims in the background."""

import random
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_release import ClaimRelease
from rhubarbpaddle.execution.claim_store import ClaimStore
from rhubarbpaddle.work_count import WorkCount

Report = ClaimOutcome | ClaimRelease

_MAX_REPORTS = 1_024
_MIN_DELAY_SECONDS = 0.05
_MAX_DELAY_SECONDS = 2.0
# A dropped report leaves its claim `unknown`, which is safe: retries with its
# key are refused.
_REPORT_TIMEOUT_SECONDS = 60.0


class ClaimReporter:
    """Sends reports to the claim store with one task for each report.

    Concurrent tasks let the store combine their reports into one append.

    Attributes:
        work: Counts the reports that are queued or being sent.
    """

    def __init__(
        self, store: ClaimStore, clock: Clock, rng: random.Random
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._pending = 0
        self.work = WorkCount()
        self._sender, self._receiver = trio.open_memory_channel[
            tuple[Report, trio.Event]
        ](_MAX_REPORTS)

    def put(self, record: Report) -> trio.Event:
        """Queues a report, or drops it if 1,024 reports are waiting.

        Returns:
            An event that is set once the report was recorded or dropped.
        """
        done = trio.Event()
        try:
            self._sender.send_nowait((record, done))
        except trio.WouldBlock:
            done.set()
        else:
            self.work.begin()
        return done

    async def run(self) -> None:
        """Sends reports until cancelled."""
        async with trio.open_nursery() as nursery:
            async for record, done in self._receiver:
                while self._pending >= _MAX_REPORTS:
                    await self._clock.sleep(timedelta(milliseconds=10))
                self._pending += 1
                nursery.start_soon(self._send, record, done)

    async def _send(self, record: Report, done: trio.Event) -> None:
        delay = _MIN_DELAY_SECONDS
        deadline = self._clock.monotonic() + _REPORT_TIMEOUT_SECONDS
        try:
            while self._clock.monotonic() < deadline:
                try:
                    await self._store.report(record)
                    return
                except RefusedError:
                    jittered = delay * self._rng.uniform(0.5, 1.0)
                    await self._clock.sleep(timedelta(seconds=jittered))
                    delay = min(delay * 2, _MAX_DELAY_SECONDS)
        finally:
            self._pending -= 1
            self.work.end()
            done.set()
