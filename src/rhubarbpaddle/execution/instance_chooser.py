"""Chooses the instances that a request is sent to, one after the other."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.instance_choice import InstanceChoice
from rhubarbpaddle.execution.large_response_chooser import (
    LargeResponseChooser,
)
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

# Codes of refusals for lack of capacity.
_FULL_CODES = frozenset({"instance_full", "instance_cold"})
# Codes after which the other instances of a zone are not tried for a while. A
# node may know before the gateway that its zone was taken out of service.
_CLOSED_ZONE_CODES = UNREACHABLE_CODES | {"zone_out_of_service"}


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
        self._large = LargeResponseChooser(router, spillover, clock)
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
        if history.waits:
            # The counts of a roll-out include one attempt at a canary, and
            # none that queues there after a refusal.
            history.discard_waits(self._versions.get_excluded(request.service))
        choice = self._choose_canary(request, history)
        if choice is not None:
            return choice
        if request.large_response and self._router.has_local_instance(
            request.service
        ):
            return self._large.choose(request, history)
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
            history: The attempts up to this one, to which the wait and the
                zone are added.
            exc: Why it failed.
            seconds: The duration of the attempt.
        """
        candidate = choice.candidate
        if choice.may_queue and self._router.is_local(candidate):
            history.own_queue_refused = True
        if exc.code in _CLOSED_ZONE_CODES:
            self._spillover.observe_closed(candidate)
        elif (
            not choice.may_queue
            and candidate.node_id in history.busy
            and exc.report is not None
        ):
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
        reason = self._spillover.classify(candidate, SpilloverReason.CANARY)
        return InstanceChoice(candidate, False, reason)

    def _choose_without_queue(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        if not history.sent and self._spillover.get_share(request.service):
            spare = self._spillover.choose_first(
                _make_terms(request), history.excluded
            )
            if spare is not None:
                return InstanceChoice(spare, False, SpilloverReason.SHARE)
        choice = self._choose_by_rank(request, history)
        if choice is None and history.waits:
            terms = _make_terms(request)
            waits = history.waits.values()
            if self._spillover.may_try_spare(waits):
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
        if not history.may_try_more:
            return None
        candidate = self._router.choose(request.service, history.excluded)
        if candidate is None or self._router.is_busy(candidate):
            return None
        if history.full_count and self._spillover.is_full(candidate):
            # Another instance of a full zone would probably refuse too.
            return None
        if self._router.is_local(candidate):
            return InstanceChoice(candidate, False, SpilloverReason.OWN_ZONE)
        reason = SpilloverReason.NO_INSTANCE
        if self._router.has_local_instance(request.service):
            reason = SpilloverReason.IMPAIRED
            candidate = self._spillover.choose_spare(
                request.service, history.excluded
            )
            if candidate is None:
                return None
        return InstanceChoice(candidate, False, reason)

    def _choose_queue(
        self, request: Request, history: RouteAttemptHistory
    ) -> InstanceChoice | None:
        if not history.may_queue:
            return None
        excluded = history.get_excluded_queues()
        own_zone_full = self._is_own_zone_full(request, history)
        if own_zone_full and history.is_last_queue:
            # The other queues of the own zone would probably refuse as well.
            candidate = self._spillover.choose_spare(
                request.service, history.excluded
            )
            if candidate is not None:
                return InstanceChoice(candidate, True, SpilloverReason.SHORTAGE)
        if history.waits:
            candidate = self._choose_shortest_queue(request, history, excluded)
            if candidate is not None:
                reason = self._spillover.classify(
                    candidate, SpilloverReason.SHORTER_QUEUE
                )
                return InstanceChoice(candidate, True, reason)
        candidate = self._router.choose_local(request.service, excluded)
        reason = SpilloverReason.IMPAIRED
        if candidate is None:
            if own_zone_full:
                candidate = self._spillover.choose_spare(
                    request.service, history.excluded
                )
                reason = SpilloverReason.SHORTAGE
            else:
                candidate = self._router.choose(request.service, excluded)
        if candidate is None:
            return None
        reason = self._spillover.classify(candidate, reason)
        return InstanceChoice(candidate, True, reason)

    def _is_own_zone_full(
        self, request: Request, history: RouteAttemptHistory
    ) -> bool:
        """Returns whether a queue of the own zone refused it as full."""
        return (
            history.own_queue_refused
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


def _make_terms(request: Request) -> SpilloverTerms:
    return SpilloverTerms(
        request.service,
        request.route,
        min(request.useful_until, request.deadline),
    )
