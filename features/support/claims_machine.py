"""A Hypothesis state machine that claims keys at several owners."""

from collections.abc import Awaitable, Callable
from typing import ClassVar

import trio
import trio.lowlevel
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)
from trio.testing import MockClock

from features.support.claims_world import CLAIM_WINDOW, OWNERS, ClaimsWorld
from rhubarbpaddle.execution.claim_ledger import ClaimLedger

_KEYS = st.integers(0, 2)
_OWNERS = st.integers(0, OWNERS - 1)
_EFFECTS = st.sampled_from(["ok", "ok", "not-run", "lost", "slow", "paused"])
# An owner polls the log each second. Its `not-run` is reliable only if it has
# read all records of other owners before an outage, and if a pause is long
# enough to be detected (see `_MAX_READ_AGE_SECONDS`).
_SETTLE_SECONDS = 2.0
_PAUSE_SECONDS = 5.0

Operation = Callable[[ClaimsWorld], Awaitable[None] | None]


class ClaimsMachine(RuleBasedStateMachine):
    """Collects operations, which `teardown` executes in one event loop."""

    make_ledger: ClassVar[Callable[[], ClaimLedger]] = ClaimLedger
    sent: ClassVar[int] = 0
    results: ClassVar[list[str]] = []

    def __init__(self) -> None:
        super().__init__()
        self._operations: list[Operation] = []
        # Long waits take most of a run's time, so each run has at most one.
        self._has_expiry = False

    @rule(key=_KEYS, owner=_OWNERS, effect=_EFFECTS)
    def send(self, key: int, owner: int, effect: str) -> None:
        self._operations.append(lambda world: world.send(key, owner, effect))

    @rule(key=_KEYS, owners=st.lists(_OWNERS, min_size=2, max_size=3))
    def send_at_once(self, key: int, owners: list[int]) -> None:
        for owner in owners:
            self.send(key, owner, "ok")

    @rule(seconds=st.sampled_from([0.01, 0.5, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        async def operation(world: ClaimsWorld) -> None:
            await trio.sleep(seconds)

        self._operations.append(operation)

    @precondition(lambda self: not self._has_expiry)
    @rule()
    def wait_for_expiry(self) -> None:
        self._has_expiry = True

        async def operation(world: ClaimsWorld) -> None:
            await trio.sleep(CLAIM_WINDOW.total_seconds() + 122)
            world.log.expire(2 * CLAIM_WINDOW.total_seconds())

        self._operations.append(operation)

    @rule(count=st.integers(1, 3))
    def lose_responses(self, count: int) -> None:
        self._operations.append(
            lambda world: setattr(world.log, "lost_responses", count)
        )

    @rule(count=st.integers(1, 2))
    def delay_appends(self, count: int) -> None:
        self._operations.append(
            lambda world: setattr(world.log, "late_appends", count)
        )

    @rule(seconds=st.sampled_from([0.0, 0.02, 1.0]))
    def slow_appends(self, seconds: float) -> None:
        self._operations.append(
            lambda world: setattr(world.log, "append_seconds", seconds)
        )

    @rule()
    def start_outage(self) -> None:
        async def operation(world: ClaimsWorld) -> None:
            await trio.sleep(_SETTLE_SECONDS)
            world.log.down = True

        self._operations.append(operation)

    @rule()
    def end_outage(self) -> None:
        self._operations.append(lambda world: setattr(world.log, "down", False))

    @rule(owner=_OWNERS)
    def pause(self, owner: int) -> None:
        self._operations.append(lambda world: world.pause(owner))

    @rule(owner=_OWNERS)
    def resume(self, owner: int) -> None:
        async def operation(world: ClaimsWorld) -> None:
            await trio.sleep(_PAUSE_SECONDS)
            world.resume(owner)

        self._operations.append(operation)

    @rule(owner=_OWNERS)
    def replace(self, owner: int) -> None:
        self._operations.append(lambda world: world.replace_owner(owner))

    def teardown(self) -> None:
        trio.run(self._execute, clock=MockClock(autojump_threshold=0))

    async def _execute(self) -> None:
        async with trio.open_nursery() as nursery:
            world = ClaimsWorld(nursery, type(self).make_ledger)
            for operation in self._operations:
                waiting = operation(world)
                if waiting is not None:
                    await waiting
                await trio.lowlevel.checkpoint()
            world.log.down = False
            for owner in range(OWNERS):
                world.resume(owner)
            await trio.sleep(_PAUSE_SECONDS)
            nursery.cancel_scope.cancel()
        ClaimsMachine.sent += len(world.results)
        ClaimsMachine.results += [result for _, result in world.results]
        assert not world.violations, world.violations


def run_machine(make_ledger: Callable[[], ClaimLedger], examples: int) -> None:
    """Runs the machine.

    Raises:
        AssertionError: A key ran twice, or was reported as `not-run` after it
            had run.
    """

    class Machine(ClaimsMachine):
        pass

    Machine.make_ledger = staticmethod(make_ledger)  # type: ignore[assignment]
    run_state_machine_as_test(
        Machine,
        settings=settings(
            settings.get_profile("ci"),
            max_examples=examples,
            stateful_step_count=20,
            # Shrinking takes minutes; the failing operations are printed.
            phases=[Phase.explicit, Phase.generate],
            print_blob=False,
        ),
    )
