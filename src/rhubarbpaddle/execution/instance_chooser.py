"""Chooses the instances that a request is sent to, one after the other."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.instance_choice import InstanceChoice
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.execution.route_attempt_history import RouteAttemptHistory
from rhubarbpaddle.execution.version_policy import (
    ALL_VERSIONS,
    VersionPolicy,
)
from rhubarbpaddle.execution.zone_choice_record import ZoneChoiceRecord
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import (
    UNREACHABLE_CODES,
    InstanceRouter,
)
from rhubarbpaddle.routing.reported_wait import ReportedWait
from rhubarbpaddle.routing.spillover_reason import SpilloverReason
from rhubarbpaddle.routing.spillover_terms import SpilloverTerms
from rhubarbpaddle.routing.zone_spillover import ZoneSpillover

# Once this many instances have refused immediate service because they were
# full, or because they were busy for any reason, the request is queued. A full
# instance will have capacity soon, so that further attempts take longer than
# waiting in its queue. An instance in a slow period may stay slow for 0.5 s.
_MAX_FULL_INSTANCES = 2
_MAX_BUSY_INSTANCES = 5
# Instances of other zones that are tried when leaving the zone pays.
_MAX_SPARE_INSTANCES = 2
# A large response leaves its zone if its expected wait there exceeds this part
# of the time to its deadline. While the shortage lasts, a request that has
# missed its latency target is overtaken by all later ones: with waits of 0.25
# of that time, 7 % missed their deadline, with 0.15 less than 1 %.
_MAX_WAIT_FRACTION = 0.2
# Queues that may refuse the request before the gateway refuses it.
_MAX_QUEUE_REFUSALS = 3
# Codes of refusals for lack of capacity.
_FULL_CODES = frozenset({"instance_full", "instance_cold"})


class InstanceChooser:
    """Decides in which zone a request is tried and in which queue it waits.

    It first tries instances without permission to queue: those of the own zone,
    then those of other zones if the waits at the first make that pay. Then it
    queues the request where the expected wait is shortest.
    """

    def __init__(
        self,
        router: InstanceRouter,
        spillover: ZoneSpillover,
        record: ZoneChoiceRecord,
        clock: Clock,
        versions: VersionPolicy = ALL_VERSIONS,
    ) -> None:
        self._versions = versions
        self._record = record
        self._clock = clock
        self._router = router
        self._spillover = spillover

    def record_request(self, service: str) -> None:
        """Records a request to a service before its first attempt."""
        self._versions.record_request(service)

    def choose(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        """Returns the next instance, or None if none can be tried.

        Args:
            request: The request.
            history: The attempts so far.
        """
        choice = self._choose_canary(request, history)
        if choice is not None:
            return choice
        if request.large_response and self._router.has_local_instance(
            request.service
        ):
            return self._choose_for_large_response(request, history)
        if not history.refused_queues:
            choice = self._choose_without_queue(request, history)
            if choice is not None:
                return choice
        return self._choose_queue(request, history)

    def observe_response(
        self,
        request: Request,
        choice: InstanceChoice,
        body: Body,
        response: Response,
    ) -> None:
        """Records that an instance responded.

        Args:
            request: The request.
            choice: The instance.
            body: The request's body.
            response: The response.
        """
        self._record.add(request.service, choice.reason)
        if not choice.may_queue:
            self._spillover.observe_accepted(choice.candidate)
        sent, received = body.length, response.body.length
        if sent is not None and received is not None:
            self._spillover.sizes.observe(request.route, sent + received)

    def observe_refusal(
        self,
        choice: InstanceChoice,
        history: RouteAttemptHistory,
        exc: RefusedError,
        seconds: float,
    ) -> None:
        """Records that an attempt failed.

        Args:
            choice: The instance.
            history: The attempts so far, to which the wait is added.
            exc: Why it failed.
            seconds: The duration of the attempt.
        """
        candidate = choice.candidate
        if exc.code in UNREACHABLE_CODES:
            self._spillover.observe_unreachable(candidate)
        elif not choice.may_queue and exc.report is not None:
            wait = ReportedWait(candidate, exc.expected_wait, exc.report.queued)
            history.waits[candidate.node_id] = wait
            if exc.code in _FULL_CODES:
                self._spillover.observe_full(wait, seconds)

    def _choose_canary(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        """Returns an instance of a version on trial if it is due a request.

        Only first attempts go there, and none that would have to wait.
        """
        if history.excluded:
            return None
        excluded = self._versions.get_canary_excluded(request.service)
        if excluded is None:
            return None
        candidate = self._router.choose_canary(request.service, excluded)
        if candidate is None or self._router.is_busy(candidate):
            return None
        self._versions.record_canary(request.service)
        return self._make_choice(candidate, False)

    def _choose_without_queue(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        if not history.sent and self._spillover.get_share(request.service):
            spare = self._spillover.choose_first(_make_terms(request), ())
            if spare is not None:
                return InstanceChoice(spare, False, SpilloverReason.SHARE)
        choice = self._choose_by_rank(request, history)
        if choice is None and history.waits:
            terms = _make_terms(request)
            waits = history.waits.values()
            if self._count_spare_attempts(history) < _MAX_SPARE_INSTANCES:
                spare = self._spillover.choose_after_refusals(
                    terms, history.excluded, waits
                )
                if spare is not None:
                    return InstanceChoice(
                        spare, False, SpilloverReason.SHORTAGE
                    )
        return choice

    def _choose_by_rank(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        """Returns the best instance for an attempt without a queue."""
        if not _may_try_more(history):
            return None
        candidate = self._router.choose(request.service, history.excluded)
        if candidate is None or self._router.is_busy(candidate):
            return None
        if history.full_count and self._spillover.is_full(candidate):
            # A second refusal would tell little.
            return None
        choice = self._make_choice(candidate, False)
        if choice.reason is not SpilloverReason.IMPAIRED:
            return choice
        spare = self._spillover.choose_spare(request.service, history.excluded)
        return choice._replace(candidate=spare) if spare else None

    def _choose_queue(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        if len(history.refused_queues) >= _MAX_QUEUE_REFUSALS:
            return None
        excluded = (history.excluded - history.busy) | history.refused_queues
        if history.waits:
            candidate = self._choose_shortest_queue(request, history, excluded)
            if candidate is not None:
                return self._make_choice(
                    candidate, True, SpilloverReason.SHORTER_QUEUE
                )
        candidate = self._router.choose_local(request.service, excluded)
        reason = SpilloverReason.IMPAIRED
        if candidate is None:
            if self._is_own_zone_full(request, history):
                candidate = self._spillover.choose_spare(
                    request.service, history.excluded
                )
                reason = SpilloverReason.SHORTAGE
            else:
                candidate = self._router.choose(request.service, excluded)
        if candidate is None:
            return None
        return self._make_choice(candidate, True, reason)

    def _is_own_zone_full(
        self, request: Request, history: RouteAttemptHistory
    ) -> bool:
        """Returns whether the queues of the own zone have refused a request."""
        return (
            bool(history.refused_queues)
            and history.refusal.code in _FULL_CODES
            and self._router.has_local_instance(request.service)
        )

    def _choose_shortest_queue(
        self, request: Request, history: RouteAttemptHistory, excluded: set[str]
    ) -> Candidate | None:
        service = request.service
        has_local = self._router.has_local_instance(service)
        choose = self._router.choose_local if has_local else self._router.choose
        unasked = choose(service, history.excluded)
        if unasked is not None and self._router.is_busy(unasked):
            unasked = None
        # A second refusal by another zone could use up the permitted refusals.
        may_leave = not has_local or not history.refused_queues
        waits = [
            wait
            for node_id, wait in history.waits.items()
            if node_id not in excluded
            and (may_leave or self._router.is_local(wait.candidate))
        ]
        return self._spillover.choose_queue(
            _make_terms(request), waits, unasked
        )

    def _choose_for_large_response(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        """Returns the next instance for a request with a large response.

        It leaves its zone only once an instance there has refused to queue it
        because it would miss its deadline, or if none is left.
        """
        if len(history.refused_queues) >= _MAX_QUEUE_REFUSALS:
            return None
        excluded = (history.excluded - history.busy) | history.refused_queues
        if not history.refused_queues:
            if _may_try_more(history):
                candidate = self._router.choose_local(
                    request.service, history.excluded
                )
                if candidate and not self._router.is_busy(candidate):
                    return self._make_choice(candidate, False)
            if not self._may_miss_deadline(request, history, excluded):
                candidate = self._choose_local_queue(request, history, excluded)
                if candidate is not None:
                    return self._make_choice(candidate, True)
        if self._count_spare_attempts(history) < _MAX_SPARE_INSTANCES:
            candidate = self._spillover.choose_spare(
                request.service, history.excluded
            )
            if candidate is not None:
                return InstanceChoice(
                    candidate, False, SpilloverReason.DEADLINE
                )
        candidate = (
            self._find_free_queue(history, excluded)
            or self._choose_local_queue(request, history, excluded)
            or self._router.choose(request.service, excluded)
        )
        if candidate is None:
            return None
        return self._make_choice(candidate, True, SpilloverReason.DEADLINE)

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

    def _count_spare_attempts(self, history: RouteAttemptHistory) -> int:
        return sum(
            not self._router.is_local(wait.candidate)
            for wait in history.waits.values()
        )

    def _make_choice(
        self,
        candidate: Candidate,
        may_queue: bool,
        reason: SpilloverReason = SpilloverReason.IMPAIRED,
    ) -> InstanceChoice:
        """Returns a choice with the reason for leaving the zone, if it does."""
        if candidate.availability_zone == self._router.own_zone:
            reason = SpilloverReason.OWN_ZONE
        elif not self._router.has_local_instance(candidate.service):
            reason = SpilloverReason.NO_INSTANCE
        return InstanceChoice(candidate, may_queue, reason)


def _get_seconds(wait: ReportedWait) -> float:
    return wait.seconds


def _may_try_more(history: RouteAttemptHistory) -> bool:
    return (
        history.full_count < _MAX_FULL_INSTANCES
        and len(history.busy) < _MAX_BUSY_INSTANCES
    )


def _make_terms(request: Request) -> SpilloverTerms:
    return SpilloverTerms(
        request.service,
        request.route,
        min(request.useful_until, request.deadline),
    )
