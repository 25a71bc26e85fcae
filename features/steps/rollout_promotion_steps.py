from datetime import timedelta

import trio
from behave import given, then, when
from behave.runner import Context
from trio.testing import MockClock

from features.support.usage_fleet_node import NoLog
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.rollout.contact_watch import ContactWatch
from rhubarbpaddle.rollout.count_report import CountReport
from rhubarbpaddle.rollout.decider_election import DeciderElection
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_decider import RolloutDecider
from rhubarbpaddle.rollout.rollout_order import RolloutOrder
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_status import RolloutStatus
from rhubarbpaddle.rollout.route_counts import RouteCounts
from rhubarbpaddle.rollout.version_table import VersionTable

_SERVICE = "lanes"
_ORDER = RolloutOrder(_SERVICE, "v2", timedelta(seconds=12), 1)


class StatusList:
    """Holds the states that were written."""

    def __init__(self) -> None:
        self.statuses: list[RolloutStatus] = []

    async def read(self, service: str) -> tuple[RolloutStatus | None, int]:
        last = self.statuses[-1] if self.statuses else None
        return last, len(self.statuses)

    async def write(self, status: RolloutStatus, end: int) -> bool:
        self.statuses.append(status)
        return True


def _make_member(node_id: str, version: str) -> Member:
    summary = UpstreamSummary(
        _SERVICE, f"i-{node_id}", 1, UpstreamState.WARM, 6, version
    )
    addresses = (f"{node_id}:1", f"{node_id}:3")
    return Member(
        node_id, 1, 1, MemberStatus.ALIVE, node_id, "a", *addresses, summary
    )


def _make_report(
    node_id: str, version: str, failures: int, responses: int
) -> CountReport:
    counts = RouteCounts("bookings", responses, failures, ())
    return CountReport(node_id, 1, 1, _SERVICE, 1, version, "a", (counts,))


@given(
    "a promotion, and an old version of whose {responses:d} responses"
    " {failures:d} failed"
)
def step_promotion(context: Context, responses: int, failures: int) -> None:
    context.old = (failures, responses)


@when(
    "the promoted version has {failures:d} failures in {responses:d} responses"
)
def step_promote(context: Context, failures: int, responses: int) -> None:
    context.store = StatusList()

    async def run() -> None:
        clock = VirtualClock()
        own = _make_member("n1", "v1")
        table = MemberTable(own._replace(upstream=None))
        versions = VersionTable(table, clock, lambda zone: True)
        table.update_own(upstream=own.upstream)
        table.merge(_make_member("n2", "v2"))
        election = DeciderElection(table, clock, lambda: True)
        board = RolloutBoard(table)
        decider = RolloutDecider(
            ObservedOrder(_ORDER, clock.monotonic(), True),
            timedelta(seconds=1),
            board,
            versions,
            election,
            ContactWatch(clock, lambda: True, timedelta(seconds=3)),
            context.store,
            clock,
            NoLog(),
        )
        board.merge(PhaseNotice(_SERVICE, 1, RolloutPhase.PROMOTION, "v2"))
        board.merge(_make_report("n1", "v1", *context.old))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(decider.run)
            # The counts of before the promotion are not compared.
            await trio.sleep(1)
            board.merge(_make_report("n2", "v2", failures, responses))
            await trio.sleep(_ORDER.duration.total_seconds())
            nursery.cancel_scope.cancel()

    trio.run(run, clock=MockClock(autojump_threshold=0))


@then('the last state in the store is "{state}"')
def step_check_state(context: Context, state: str) -> None:
    states = [status.state.value for status in context.store.statuses]
    assert states[-1:] == [state], states
