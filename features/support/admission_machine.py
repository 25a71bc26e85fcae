"""A state machine that tests admission control with Hypothesis."""

import trio
import trio.testing
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from trio.testing import MockClock

from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.admission.adaptive_admission import AdaptiveAdmission
from rhubarbpaddle.admission.slot import Slot
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.measuring import Evidence, EvidenceKind
from rhubarbpaddle.membership import UpstreamState

_SLOTS = 4
_QUEUE_LENGTH = 4 * _SLOTS


class AdmissionMachine(RuleBasedStateMachine):
    """Collects the events of a test case and replays them in one trio run."""

    def __init__(self) -> None:
        super().__init__()
        self.events: list[tuple[str, object]] = []

    @rule(
        organisation=st.sampled_from("abc"),
        remaining=st.sampled_from([0.05, 1.0, 50.0]),
        may_queue=st.booleans(),
        criticality=st.integers(0, 2),
    )
    def acquire(
        self,
        organisation: str,
        remaining: float,
        may_queue: bool,
        criticality: int,
    ) -> None:
        self.events.append(
            ("acquire", (organisation, remaining, may_queue, criticality))
        )

    @rule(
        index=st.integers(0, 20),
        kind=st.sampled_from(EvidenceKind),
        latency=st.sampled_from([0.001, 0.01, 0.5]),
    )
    def release(self, index: int, kind: EvidenceKind, latency: float) -> None:
        evidence = Evidence(kind, latency)
        self.events.append(("release", (index, evidence)))

    @rule(index=st.integers(0, 20))
    def cancel(self, index: int) -> None:
        self.events.append(("cancel", index))

    @rule(
        index=st.integers(0, 20),
        state=st.sampled_from(UpstreamState),
    )
    def release_and_set_state(self, index: int, state: UpstreamState) -> None:
        """Changes the state between a grant and the moment its task runs."""
        evidence = Evidence(EvidenceKind.RESPONDED, 0.01)
        self.events.append(("release_and_set_state", (index, evidence, state)))

    @rule(seconds=st.sampled_from([0.01, 0.2, 2.0]))
    def wait(self, seconds: float) -> None:
        self.events.append(("wait", seconds))

    @invariant()
    def check_in_teardown(self) -> None:
        """Does nothing: `teardown` checks the invariants while it replays."""

    def teardown(self) -> None:
        trio.run(
            _Replay(self.events).run, clock=MockClock(autojump_threshold=0)
        )


class _Replay:
    def __init__(self, events: list[tuple[str, object]]) -> None:
        self._events = events
        self._admission: AdaptiveAdmission
        self._held: list[Slot] = []
        self._scopes: list[trio.CancelScope] = []
        self._pending = 0

    async def run(self) -> None:
        self._admission = AdaptiveAdmission(_SLOTS, VirtualClock())
        async with trio.open_nursery() as nursery:
            for name, argument in self._events:
                await self._apply(nursery, name, argument)
                await trio.testing.wait_all_tasks_blocked()
                report = self._admission.get_report()
                assert report.in_flight == len(self._held) <= _SLOTS
                assert 1 <= report.limit <= _SLOTS
                assert report.queued == self._pending <= _QUEUE_LENGTH
                if report.queued and report.limit > report.in_flight:
                    # Without a release, the limit rises only with time, in a
                    # cold start.
                    assert report.state is UpstreamState.COLD
            # When all slots are released, no request waits any longer.
            while self._held:
                self._held.pop().release(Evidence(EvidenceKind.NONE))
                await trio.testing.wait_all_tasks_blocked()
        assert self._pending == 0
        report = self._admission.get_report()
        assert (report.in_flight, report.queued) == (0, 0)

    async def _apply(
        self, nursery: trio.Nursery, name: str, argument: object
    ) -> None:
        match name, argument:
            case "acquire", (organisation, remaining, may_queue, criticality):
                ticket = Ticket(
                    organisation,
                    trio.current_time() + remaining,
                    may_queue,
                    criticality,
                )
                nursery.start_soon(self._acquire, ticket)
            case "release", (index, evidence) if self._held:
                slot = self._held.pop(index % len(self._held))
                slot.release(evidence)
                slot.release(evidence)
            case "release_and_set_state", (index, evidence, state):
                if self._held:
                    self._held.pop(index % len(self._held)).release(evidence)
                self._admission.set_state(state)
            case "cancel", int(index) if self._scopes:
                self._scopes[index % len(self._scopes)].cancel()
            case "wait", float(seconds):
                await trio.sleep(seconds)

    async def _acquire(self, ticket: Ticket) -> None:
        self._pending += 1
        scope = trio.CancelScope()
        self._scopes.append(scope)
        try:
            with scope:
                self._held.append(await self._admission.acquire(ticket))
        except RefusedError:
            pass
        finally:
            self._pending -= 1
            self._scopes.remove(scope)
