"""A Hypothesis machine over owners of one partition."""

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

from features.support.claims_world import OWNERS, WINDOW, ClaimsWorld
from rhubarbpaddle.execution.claim_ledger import ClaimLedger

_KEYS = st.integers(0, 2)
_OWNERS = st.integers(0, OWNERS - 1)
_EFFECTS = st.sampled_from(["ok", "ok", "not-run", "lost", "slow", "late"])
# An owner polls the log each second, see `_CURRENT_SECONDS`. It has to have
# read what others wrote before an outage, and a pause has to be long enough
# to be noticed, for its `not-run` to be worth anything.
_SETTLE_SECONDS = 2.0
_PAUSE_SECONDS = 5.0

Work = Callable[[ClaimsWorld], Awaitable[None] | None]


class ClaimsMachine(RuleBasedStateMachine):
    """Rules make a plan; teardown carries it out in one event loop."""

    make_ledger: ClassVar[Callable[[], ClaimLedger]] = ClaimLedger
    sent: ClassVar[int] = 0
    answered: ClassVar[list[str]] = []

    def __init__(self) -> None:
        super().__init__()
        self._plan: list[Work] = []
        # Long waits are most of a run's time, so each plan has at most one.
        self._expired = False

    @rule(key=_KEYS, owner=_OWNERS, effect=_EFFECTS)
    def send(self, key: int, owner: int, effect: str) -> None:
        self._plan.append(lambda world: world.send(key, owner, effect))

    @rule(key=_KEYS, owners=st.lists(_OWNERS, min_size=2, max_size=3))
    def send_at_once(self, key: int, owners: list[int]) -> None:
        for owner in owners:
            self.send(key, owner, "ok")

    @rule(seconds=st.sampled_from([0.01, 0.5, 2.0, 8.0]))
    def wait(self, seconds: float) -> None:
        async def work(world: ClaimsWorld) -> None:
            await trio.sleep(seconds)

        self._plan.append(work)

    @precondition(lambda self: not self._expired)
    @rule()
    def wait_for_expiry(self) -> None:
        self._expired = True

        async def work(world: ClaimsWorld) -> None:
            await trio.sleep(WINDOW.total_seconds() + 122)
            world.log.expire(2 * WINDOW.total_seconds())

        self._plan.append(work)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count: int) -> None:
        self._plan.append(
            lambda world: setattr(world.log, "lost_responses", count)
        )

    @rule(count=st.integers(1, 2))
    def delay_appends(self, count: int) -> None:
        self._plan.append(
            lambda world: setattr(world.log, "late_appends", count)
        )

    @rule(seconds=st.sampled_from([0.0, 0.02, 1.0]))
    def slow_down(self, seconds: float) -> None:
        self._plan.append(
            lambda world: setattr(world.log, "append_seconds", seconds)
        )

    @rule()
    def start_outage(self) -> None:
        async def work(world: ClaimsWorld) -> None:
            await trio.sleep(_SETTLE_SECONDS)
            world.log.down = True

        self._plan.append(work)

    @rule()
    def end_outage(self) -> None:
        self._plan.append(lambda world: setattr(world.log, "down", False))

    @rule(owner=_OWNERS)
    def pause(self, owner: int) -> None:
        self._plan.append(lambda world: world.pause(owner))

    @rule(owner=_OWNERS)
    def resume(self, owner: int) -> None:
        async def work(world: ClaimsWorld) -> None:
            await trio.sleep(_PAUSE_SECONDS)
            world.resume(owner)

        self._plan.append(work)

    @rule(owner=_OWNERS)
    def replace(self, owner: int) -> None:
        self._plan.append(lambda world: world.replace_owner(owner))

    def teardown(self) -> None:
        trio.run(self._carry_out, clock=MockClock(autojump_threshold=0))

    async def _carry_out(self) -> None:
        async with trio.open_nursery() as nursery:
            world = ClaimsWorld(nursery, type(self).make_ledger)
            for work in self._plan:
                waiting = work(world)
                if waiting is not None:
                    await waiting
                await trio.lowlevel.checkpoint()
            world.log.down = False
            for owner in range(OWNERS):
                world.resume(owner)
            await trio.sleep(_PAUSE_SECONDS)
            nursery.cancel_scope.cancel()
        ClaimsMachine.sent += len(world.answers)
        ClaimsMachine.answered += [answer for _, answer in world.answers]
        assert not world.faults, world.faults


def run_machine(make_ledger: Callable[[], ClaimLedger], examples: int) -> None:
    """Runs the machine; raises AssertionError if it finds a fault."""

    class Machine(ClaimsMachine):
        pass

    Machine.make_ledger = staticmethod(make_ledger)  # type: ignore[assignment]
    run_state_machine_as_test(
        Machine,
        settings=settings(
            settings.get_profile("ci"),
            max_examples=examples,
            stateful_step_count=20,
            # Shrinking takes minutes and the plan that fails is printed.
            phases=[Phase.explicit, Phase.generate],
            print_blob=False,
        ),
    )
