"""Chooses instances for requests whose responses are large."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.instance_choice import InstanceChoice
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.route_attempt_history import RouteAttemptHistory
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import InstanceRouter
from rhubarbpaddle.routing.reported_wait import ReportedWait
from rhubarbpaddle.routing.spillover_reason import SpilloverReason
from rhubarbpaddle.routing.zone_spillover import ZoneSpillover

# A large response leaves its zone if its expected wait there exceeds this part
# of the time to its deadline. While the shortage lasts, a request that has
# missed its latency target is overtaken by all later ones: with waits of 0.25
# of that time, 7 % missed their deadline, with 0.15 less than 1 %.
_MAX_WAIT_FRACTION = 0.2


class LargeResponseChooser:
    """Keeps requests in their zone unless they would miss their deadline there.

    They leave it once the expected wait there is long, once a queue there has
    refused them because of the deadline, or if no instance is left there. The
    own zone must have instances of the service.
    """

    def __init__(
        self, router: InstanceRouter, spillover: ZoneSpillover, clock: Clock
    ) -> None:
        self._router = router
        self._spillover = spillover
        self._clock = clock

    def choose(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        """Returns the next instance, or None if none can be tried.

        Args:
            request: The request.
            history: The attempts so far.
        """
        if not history.may_queue:
            return None
        excluded = history.get_excluded_queues()
        if not history.refused_queues:
            # More instances than for a short response, because an attempt costs
            # little compared to the transfer between zones.
            if history.may_try_busy:
                candidate = self._router.choose_local(
                    request.service, history.excluded
                )
                if candidate and not self._router.is_busy(candidate):
                    return _stay(candidate, may_queue=False)
            if not self._may_miss_deadline(request, history, excluded):
                candidate = self._choose_local_queue(request, history, excluded)
                if candidate is not None:
                    return _stay(candidate, may_queue=True)
        if self._spillover.may_try_spare(history.waits.values()):
            candidate = self._spillover.choose_spare(
                request.service, history.excluded
            )
            if candidate is not None:
                return InstanceChoice(
                    candidate, False, self._get_reason(history)
                )
        candidate = (
            self._find_free_queue(history, excluded)
            or self._choose_local_queue(request, history, excluded)
            or self._router.choose(request.service, excluded)
        )
        if candidate is None:
            return None
        reason = self._spillover.classify(candidate, self._get_reason(history))
        return InstanceChoice(candidate, True, reason)

    def _get_reason(self, history: RouteAttemptHistory) -> SpilloverReason:
        """Returns why a request leaves its zone.

        It could have waited there if an instance of the zone refused it as
        busy. Otherwise none was reached.
        """
        could_wait = history.own_queue_refused or any(
            self._router.is_local(wait.candidate)
            for wait in history.waits.values()
        )
        return (
            SpilloverReason.DEADLINE if could_wait else SpilloverReason.IMPAIRED
        )

    def _may_miss_deadline(
        self, request: Request, history: RouteAttemptHistory, excluded: set[str]
    ) -> bool:
        """Returns whether all known waits of the own zone are too long."""
        waits = self._get_waits(history, excluded, is_local=True)
        remaining = request.deadline - self._clock.monotonic()
        return bool(waits) and (
            min(wait.seconds for wait in waits) > _MAX_WAIT_FRACTION * remaining
        )

    def _choose_local_queue(
        self, request: Request, history: RouteAttemptHistory, excluded: set[str]
    ) -> Candidate | None:
        """Returns the instance of the own zone with the shortest wait."""
        waits = self._get_waits(history, excluded, is_local=True)
        if not waits:
            return self._router.choose_local(request.service, excluded)
        return min(waits, key=_get_seconds).candidate

    def _find_free_queue(
        self, history: RouteAttemptHistory, excluded: set[str]
    ) -> Candidate | None:
        """Returns an instance of another zone that admits requests of this."""
        waits = [
            wait
            for wait in self._get_waits(history, excluded, is_local=False)
            if not wait.queued
        ]
        return min(waits, key=_get_seconds).candidate if waits else None

    def _get_waits(
        self, history: RouteAttemptHistory, excluded: set[str], is_local: bool
    ) -> list[ReportedWait]:
        return [
            wait
            for node_id, wait in history.waits.items()
            if node_id not in excluded
            and self._router.is_local(wait.candidate) is is_local
        ]


def _get_seconds(wait: ReportedWait) -> float:
    return wait.seconds


def _stay(candidate: Candidate, may_queue: bool) -> InstanceChoice:
    return InstanceChoice(candidate, may_queue, SpilloverReason.OWN_ZONE)
