"""Counts the responses of the instance beside this node."""

from collections.abc import Callable
from typing import NamedTuple

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.execution.response_observer import (
    NO_OBSERVATION,
    Observation,
)
from rhubarbpaddle.membership import Member, UpstreamState, UpstreamSummary
from rhubarbpaddle.rollout.count_report import CountReport
from rhubarbpaddle.rollout.instance_version import NO_VERSION, UNKNOWN_VERSION
from rhubarbpaddle.rollout.response_counter import ResponseCounter
from rhubarbpaddle.rollout.rollout_table import RolloutTable
from rhubarbpaddle.rollout.route_counts import RouteCounts

_NO_VERSIONS = (NO_VERSION, UNKNOWN_VERSION)
# Older readings say nothing about the speed at which a request begins.
_MAX_READING_AGE_SECONDS = 0.1


class _Key(NamedTuple):
    service: str
    order: int
    version: str


class ResponseRecorder:
    """Counts responses while a roll-out runs; implements `ResponseObserver`.

    The counts never decrease during the node's incarnation.
    """

    def __init__(
        self,
        rollouts: RolloutTable,
        clock: Clock,
        get_own: Callable[[], Member],
    ) -> None:
        """Creates a recorder without counts.

        Args:
            rollouts: The newest roll-out of each service.
            clock: The source of time.
            get_own: Returns this node's entry in the member table.
        """
        self._rollouts = rollouts
        self._clock = clock
        self._get_own = get_own
        self._counters: dict[_Key, ResponseCounter] = {}
        self._published: dict[_Key, tuple[RouteCounts, ...]] = {}
        self._sequence = 0

    def is_stopped(self, summary: UpstreamSummary) -> bool:
        """Returns whether an instance must not receive requests."""
        rollout = self._rollouts.get_current(summary.service)
        return (
            rollout is not None
            and rollout.phase is not None
            and rollout.phase.is_stopped
            and rollout.target_version == summary.version
        )

    def start(self, attached: AttachedInstance, route: str) -> Observation:
        """Returns what is told of the end of a request that begins now."""
        summary = attached.summary
        rollout = self._rollouts.get_current(summary.service)
        if (
            rollout is None
            or not rollout.is_counting
            or summary.version in _NO_VERSIONS
        ):
            return NO_OBSERVATION
        key = _Key(summary.service, rollout.order, summary.version)
        counter = self._counters.get(key)
        if counter is None:
            counter = self._counters[key] = ResponseCounter(self._clock)
        # An ordinary instance becomes slower for up to 0.5 s at times, and is
        # slow while it is cold. A lasting slowdown is kept, since it may be
        # caused by the version.
        monitor = attached.monitor
        factor = 1.0
        if monitor.reading is not None:
            factor = monitor.get_slowdown(_MAX_READING_AGE_SECONDS)
            factor = max(1.0, factor / monitor.get_lasting_factor())
        is_cold = summary.state is UpstreamState.COLD
        return counter.start(route, None if is_cold else factor)

    def take_reports(self) -> list[CountReport]:
        """Returns the counts that have changed since the last call."""
        own = self._get_own()
        reports = []
        for key, counter in tuple(self._counters.items()):
            rollout = self._rollouts.get_current(key.service)
            if rollout is None or rollout.order != key.order:
                del self._counters[key]
                self._published.pop(key, None)
                continue
            routes = counter.get_counts()
            if not rollout.is_counting or self._published.get(key) == routes:
                continue
            self._published[key] = routes
            self._sequence += 1
            reports.append(
                CountReport(
                    own.node_id,
                    own.incarnation,
                    self._sequence,
                    key.service,
                    key.order,
                    key.version,
                    own.availability_zone,
                    routes,
                )
            )
        return reports
