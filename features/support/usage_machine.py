"""A state machine that tests the sum of usage caps with Hypothesis."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

import trio
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from trio.testing import MockClock

from features.support.usage_fleet import UsageFleet
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.usage.quota_terms import QuotaTerms

_TERMS = QuotaTerms(timedelta(seconds=5), 0.1, 8)
_NODE_IDS = tuple(f"n{index}" for index in range(6))
_NAMES = ("large", "small")
# All gateways together send more than twice the cap of the large organisation
# all the time, so that each token that is granted too much shows.
_INTERVAL_SECONDS = 0.125
# A changed cap binds after the time in which it comes into force and a window.
_CHANGE_SECONDS = 7.5

Operation = Callable[["_Replay"], Awaitable[None]]


class UsageMachine(RuleBasedStateMachine):
    """Collects the steps of a test case and replays them in one trio run."""

    steps = 0

    def __init__(self) -> None:
        super().__init__()
        self._operations: list[Operation] = []

    @rule(
        name=st.sampled_from(_NAMES),
        node_ids=st.sets(st.sampled_from(_NODE_IDS), min_size=1),
        count=st.sampled_from([1, 5]),
        seconds=st.sampled_from([0.0, 0.3, 2.0]),
        run_ratio=st.sampled_from([1, 2]),
    )
    def send(
        self,
        name: str,
        node_ids: set[str],
        count: int,
        seconds: float,
        run_ratio: int,
    ) -> None:
        """Sends many requests through some gateways within a time."""
        self._operations.append(
            lambda replay: replay.send(
                name, sorted(node_ids), count, seconds, run_ratio
            )
        )

    @rule(node_id=st.sampled_from(_NODE_IDS))
    def restart(self, node_id: str) -> None:
        self._operations.append(lambda replay: replay.restart(node_id))

    @rule(node_id=st.sampled_from(_NODE_IDS))
    def stop_gracefully(self, node_id: str) -> None:
        self._operations.append(lambda replay: replay.stop_gracefully(node_id))

    @rule(node_id=st.sampled_from(_NODE_IDS))
    def freeze_or_resume(self, node_id: str) -> None:
        self._operations.append(lambda replay: replay.freeze_or_resume(node_id))

    @rule(groups=st.lists(st.integers(0, 2), min_size=6, max_size=6))
    def partition(self, groups: list[int]) -> None:
        self._operations.append(lambda replay: replay.partition(groups))

    @rule()
    def heal(self) -> None:
        self._operations.append(lambda replay: replay.partition([0] * 6))

    @rule(name=st.sampled_from(_NAMES), factor=st.sampled_from([0.25, 1, 4]))
    def change_cap(self, name: str, factor: float) -> None:
        self._operations.append(lambda replay: replay.change_cap(name, factor))

    @rule(seconds=st.sampled_from([0.1, 0.6, 1.3, 3.0, 5.0]))
    def wait(self, seconds: float) -> None:
        self._operations.append(lambda replay: replay.wait(seconds))

    @invariant()
    def check_in_teardown(self) -> None:
        """Does nothing: `teardown` checks the sums after the replay."""

    def teardown(self) -> None:
        UsageMachine.steps += len(self._operations)
        trio.run(
            _Replay(self._operations).run, clock=MockClock(autojump_threshold=0)
        )


class _Replay:
    def __init__(self, operations: list[Operation]) -> None:
        self._operations = operations
        self._caps = {
            "large": Organisation("large", rate=20.0, burst=10.0),
            "small": Organisation("small", rate=2.0, burst=0.0),
        }
        self._fleet = UsageFleet(_TERMS, self._caps.values())
        self._nursery: trio.Nursery

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self._fleet.start(nursery, _NODE_IDS)
            for node_id in _NODE_IDS:
                nursery.start_soon(self._send_continuously, node_id)
            await trio.sleep(1)
            for operation in self._operations:
                await operation(self)
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        for name in _NAMES:
            self._check(name)

    def _check(self, name: str) -> None:
        most = self._fleet.get_most_in_window(name)
        assert most <= self._fleet.get_limit(name), (name, most)

    async def _send_continuously(self, node_id: str) -> None:
        while True:
            self._nursery.start_soon(self._fleet.send, node_id, "large")
            await trio.sleep(_INTERVAL_SECONDS)

    async def send(
        self,
        name: str,
        node_ids: list[str],
        count: int,
        seconds: float,
        run_ratio: int,
    ) -> None:
        for index in range(count):
            for node_id in node_ids:
                self._nursery.start_soon(
                    self._fleet.send, node_id, name, index % run_ratio == 0
                )
            await trio.sleep(seconds / count)

    async def restart(self, node_id: str) -> None:
        self._fleet.kill(self._nursery, node_id)
        await trio.sleep(0.3)
        self._fleet.start(self._nursery, [node_id])

    async def stop_gracefully(self, node_id: str) -> None:
        if self._fleet.nodes[node_id].frozen:
            return
        await self._fleet.leave(node_id)
        await trio.sleep(1)
        await self.restart(node_id)

    async def freeze_or_resume(self, node_id: str) -> None:
        if self._fleet.nodes[node_id].frozen:
            self._fleet.resume(self._nursery, node_id)
        else:
            self._fleet.freeze(self._nursery, node_id)

    async def partition(self, groups: list[int]) -> None:
        self._fleet.partition(
            self._nursery, dict(zip(_NODE_IDS, groups, strict=True))
        )

    async def change_cap(self, name: str, factor: float) -> None:
        """Changes a cap and checks those windows to which the old one applied.

        Requests that ran before the new cap binds are not counted in it.
        """
        self._check(name)
        organisation = self._caps[name]
        self._fleet.set_cap(
            organisation._replace(
                rate=organisation.rate * factor,
                burst=organisation.burst * factor,
            )
        )
        await trio.sleep(_CHANGE_SECONDS)
        self._fleet.admitted_at[name].clear()

    async def wait(self, seconds: float) -> None:
        await trio.sleep(seconds)
