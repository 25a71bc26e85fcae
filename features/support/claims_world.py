"""Runs several owners of one partition, and gateways that use them."""

import random
import uuid
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from datetime import timedelta

import trio

from features.support.fake_log import FakeLog
from features.support.pausable_log import PausableLog
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Body, BytesBody, Request, Response
from rhubarbpaddle.execution.claim_held import ClaimHeld
from rhubarbpaddle.execution.claim_ledger import ClaimLedger, LogRecord
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease
from rhubarbpaddle.execution.claim_reporter import ClaimReporter
from rhubarbpaddle.execution.claiming_gateway import ClaimingGateway
from rhubarbpaddle.node.claim_partition_task import ClaimPartitionTask
from rhubarbpaddle.outcome import Outcome

OWNERS = 3
CLAIM_WINDOW = timedelta(seconds=15)
_TIMEOUT_SECONDS = 5.0
_GATEWAY_PAUSE_SECONDS = 30.0


class ClaimsWorld:
    """Sends requests with keys and records which ran and their results.

    Attributes:
        log: The fake log.
        clock: The source of virtual time.
        runs: How often a request with each key ran.
        violations: One message for each key that ran twice and for each
            refusal as `not-run` of a key that had run.
        results: Each key with the status or error code of its response.
        owners: The tasks that own the partition.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        make_ledger: Callable[[], ClaimLedger] = ClaimLedger,
    ) -> None:
        self.log = FakeLog(nursery)
        self.clock = VirtualClock()
        self.runs: Counter[str] = Counter()
        self.violations: list[str] = []
        self.results: list[tuple[str, str]] = []
        self._nursery = nursery
        self._make_ledger = make_ledger
        self._rng = random.Random(1)
        self._keys: dict[int, str] = {}
        self._scopes: dict[int, trio.CancelScope] = {}
        self._logs: dict[int, PausableLog] = {}
        self.owners: dict[int, ClaimPartitionTask] = {}
        for index in range(OWNERS):
            self.replace_owner(index)

    def replace_owner(self, index: int) -> None:
        """Stops an owner, if there is one, and starts it without state."""
        if index in self._scopes:
            self._scopes[index].cancel()
        log = self._logs[index] = PausableLog(self.log)
        task = ClaimPartitionTask(0, log, self.log, self.clock, self._rng)
        task.ledger = self._make_ledger()
        self.owners[index] = task
        scope = self._scopes[index] = trio.CancelScope()

        async def run() -> None:
            with scope:
                await task.run()

        self._nursery.start_soon(run)

    def pause(self, index: int) -> None:
        self._logs[index].pause()

    def resume(self, index: int) -> None:
        self._logs[index].resume()

    def make_key(self, number: int) -> str:
        """Returns the key of a number, dated when it was first used."""
        if number not in self._keys:
            now_ms = int(self.clock.now().timestamp() * 1000)
            value = now_ms << 80 | 7 << 76 | 2 << 62 | number
            self._keys[number] = str(uuid.UUID(int=value))
        return self._keys[number]

    def send(self, number: int, owner: int, effect: str) -> None:
        """Starts a request whose gateway claims its key at an owner.

        Args:
            number: The number of the key.
            owner: The number of the owner.
            effect: `ok`, `not-run`, `lost` (it runs, but its response is
                lost), `slow`, or `paused` (its gateway is paused after the
                claim was granted).
        """
        self._nursery.start_soon(
            self._send, self.make_key(number), owner, effect
        )

    async def _send(self, key: str, owner: int, effect: str) -> None:
        store = _OwnerStore(lambda: self.owners[owner], effect == "paused")
        reporter = ClaimReporter(store, self.clock, self._rng)
        gateway = ClaimingGateway(
            _FakeGateway(self, effect),  # type: ignore[arg-type]
            store,
            reporter,
            self.clock,
            lambda: _ACCEPTED,
        )
        request = Request(
            request_id="r",
            organisation="default",
            service="lanes",
            method="POST",
            target="/book",
            headers=[],
            deadline=trio.current_time() + _TIMEOUT_SECONDS,
            idempotent=False,
            key=key,
        )
        self._nursery.start_soon(reporter.run)
        try:
            async with gateway.handle(request, BytesBody(b"")) as response:
                self.results.append((key, str(response.status)))
        except RefusedError as exc:
            self.results.append((key, exc.code))
            if exc.outcome is Outcome.NOT_RUN and self.runs[key]:
                self.violations.append(
                    f"not-run reported for {key} by {exc.code}"
                )

    def record_run(self, key: str) -> None:
        self.runs[key] += 1
        if self.runs[key] > 1:
            self.violations.append(f"{key} ran twice")


class _OwnerStore:
    def __init__(
        self, get_owner: Callable[[], ClaimPartitionTask], paused: bool
    ) -> None:
        self._get_owner = get_owner
        self._paused = paused

    async def claim(self, record: ClaimRecord) -> ClaimHeld | None:
        if not self._paused:
            return await self._submit(record)
        # A paused process does not notice its deadline before it resumes.
        with trio.CancelScope(shield=True):
            held = await self._submit(record)
            await trio.sleep(_GATEWAY_PAUSE_SECONDS)
            return held

    async def report(self, record: ClaimOutcome | ClaimRelease) -> None:
        await self._submit(record)

    async def _submit(self, record: LogRecord) -> ClaimHeld | None:
        return await self._get_owner().submit(record)


class _FakeGateway:
    def __init__(self, world: ClaimsWorld, effect: str) -> None:
        self._world = world
        self._effect = effect

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body
    ) -> AsyncIterator[Response]:
        await trio.lowlevel.checkpoint()
        if self._effect == "not-run":
            raise RefusedError("no_instance", "none", step="route")
        self._world.record_run(request.key)
        if self._effect == "lost":
            raise RefusedError(
                "peer_lost", "lost", step="exchange", outcome=Outcome.UNKNOWN
            )
        if self._effect == "slow":
            await trio.sleep(2.0)
        yield Response(200, [], BytesBody(b"done"), None)


_ACCEPTED = AcceptedConfiguration(
    version=1,
    digest="",
    text="",
    as_of=0,
    configuration=Configuration(
        {"lanes": Service("lanes", claim_window=CLAIM_WINDOW)}, {}, {}
    ),
)
