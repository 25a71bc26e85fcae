"""Runs the tasks of all roll-outs on one node."""

from collections.abc import Callable, Iterable
from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.rollout.count_report import CountReport
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.response_recorder import ResponseRecorder
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_decider import RolloutDecider
from rhubarbpaddle.rollout.rollout_table import RolloutTable
from rhubarbpaddle.rollout.version_table import VersionTable

# All nodes receive and pass on the reports of all instances of a service. A
# rate of 16 reports a second keeps this near 7 KB/s per node.
_MIN_REPORT_INTERVAL_SECONDS = 0.25
# An alarm waits for the reports of this time (`VersionComparison`).
_MAX_REPORT_INTERVAL_SECONDS = 1.0
_REPORTS_PER_SECOND = 16


class RolloutController:
    """Starts a decider for each order and publishes this node's counts."""

    def __init__(
        self,
        table: RolloutTable,
        board: RolloutBoard,
        versions: VersionTable,
        recorder: ResponseRecorder,
        make_decider: Callable[[ObservedOrder], RolloutDecider],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Creates a controller without orders.

        Args:
            table: The newest roll-out of each service.
            board: The phases and counts of all nodes.
            versions: The versions of all instances.
            recorder: Counts the responses of the instance beside this node.
            make_decider: Creates the decider of an order.
            clock: The source of time.
            log: The log for changes of phases.
        """
        self._table = table
        self._board = board
        self._versions = versions
        self._recorder = recorder
        self._make_decider = make_decider
        self._clock = clock
        self._log = log
        self._deciders: dict[str, RolloutDecider] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._changed = trio.Event()
        self._is_counting = trio.Event()
        board.add_listener(self._handle_notice)

    def set_orders(self, orders: Iterable[ObservedOrder]) -> None:
        """Replaces the orders in force."""
        entries = list(orders)
        if not entries and not self._table.orders:
            return
        deleted = self._table.orders.keys() - {
            entry.order.service for entry in entries
        }
        self._table.set_orders(entries)
        for service in deleted & self._deciders.keys():
            self._deciders[service].cancel_order()
        self._changed.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._publish_counts)
            while True:
                for entry in self._table.orders.values():
                    self._start_decider(nursery, entry)
                await self._changed.wait()
                self._changed = trio.Event()

    def _start_decider(
        self, nursery: trio.Nursery, entry: ObservedOrder
    ) -> None:
        service, number = entry.order.service, entry.order.number
        current = self._deciders.get(service)
        if current is not None and current.entry.order.number == number:
            return
        if service in self._scopes:
            self._scopes[service].cancel()
        decider = self._deciders[service] = self._make_decider(entry)
        scope = self._scopes[service] = trio.CancelScope()
        self._log.info(
            "rollout_order",
            service=service,
            order=number,
            target=entry.order.target_version,
            duration_s=entry.order.duration.total_seconds(),
        )
        nursery.start_soon(self._run_decider, decider, scope)

    async def _run_decider(
        self, decider: RolloutDecider, scope: trio.CancelScope
    ) -> None:
        with scope:
            await decider.run()

    async def _publish_counts(self) -> None:
        while True:
            await self._is_counting.wait()
            if not self._board.has_running():
                self._is_counting = trio.Event()
                continue
            reports = self._recorder.take_reports()
            for report in reports:
                self._board.merge(report)
            instances = max(
                (self._count_instances(report) for report in reports), default=1
            )
            interval = min(
                _MAX_REPORT_INTERVAL_SECONDS,
                max(
                    _MIN_REPORT_INTERVAL_SECONDS,
                    instances / _REPORTS_PER_SECOND,
                ),
            )
            await self._clock.sleep(timedelta(seconds=interval))

    def _count_instances(self, report: CountReport) -> int:
        versions = self._versions.get_versions(report.service)
        return sum(map(len, versions.accepting.values()))

    def _handle_notice(
        self, notice: PhaseNotice | CountReport, source: str | None
    ) -> None:
        if isinstance(notice, CountReport):
            return
        self._versions.record_phase(notice)
        if not notice.phase.is_terminal:
            self._is_counting.set()
        self._log.info(
            "rollout_phase",
            service=notice.service,
            order=notice.order,
            target=notice.target_version,
            phase=notice.phase.name.lower(),
            source=source or "own",
        )
