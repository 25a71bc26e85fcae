"""The requests that an instance runs."""

from collections.abc import Callable

from rhubarbpaddle.admission.failure_rate import FailureRate
from rhubarbpaddle.admission.instance_slot import InstanceSlot
from rhubarbpaddle.admission.slot_contention import SlotContention
from rhubarbpaddle.admission.slot_use import SlotUse
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.admission.work_estimator import WorkEstimator
from rhubarbpaddle.measuring import Evidence, EvidenceKind

_FAILURE_KINDS = frozenset(
    {
        EvidenceKind.FAILED,
        EvidenceKind.LOST,
        EvidenceKind.TIMED_OUT,
    }
)


class RunningRequests:
    """Counts running requests and decides what their ends are evidence of.

    Attributes:
        count: Requests that the instance runs.
    """

    def __init__(
        self,
        regular_slots: int,
        estimator: WorkEstimator,
        contention: SlotContention,
        failures: FailureRate,
        on_end: Callable[[Evidence], None],
    ) -> None:
        """Creates the state of an idle instance.

        Args:
            regular_slots: Slots that are always used; a request that starts
                beside as many others is in one of the last slots.
            estimator: Gets the start, end and duration of each request.
            contention: Gets the duration and the slots of each request that
                was answered.
            failures: Gets the result of each request.
            on_end: Called after the end of a request has been recorded.
        """
        self.count = 0
        self._regular_slots = regular_slots
        self._estimator = estimator
        self._contention = contention
        self._failures = failures
        self._on_end = on_end
        self._last_slot_starts = 0

    def start(
        self, ticket: Ticket, slowdown: float, now: float
    ) -> InstanceSlot:
        """Records the start of a request.

        Args:
            ticket: The request.
            slowdown: The instance's slowdown factor, at least 1.
            now: Monotonic seconds.

        Returns:
            The slot to release when the request ends.
        """
        self.count += 1
        key = self._estimator.begin(ticket, now, slowdown)
        in_last_slot = self.count > self._regular_slots
        self._last_slot_starts += in_last_slot
        starts_before = self._last_slot_starts

        def on_release(evidence: Evidence) -> None:
            self.count -= 1
            self._estimator.end(key)
            if evidence.kind is EvidenceKind.RESPONDED:
                self._failures.record(False)
                if evidence.latency is not None:
                    use = SlotUse.FIRST
                    if in_last_slot:
                        use = SlotUse.LAST
                    elif self._last_slot_starts > starts_before:
                        use = SlotUse.BESIDE_LAST
                    self._record_time(
                        ticket.route, evidence.latency / slowdown, use
                    )
            elif evidence.kind in _FAILURE_KINDS:
                self._failures.record(True)
            self._on_end(evidence)

        return InstanceSlot(on_release)

    def _record_time(self, route: str, seconds: float, use: SlotUse) -> None:
        self._contention.record(
            self._estimator.compute_ratio(route, seconds), use
        )
        self._estimator.record(route, seconds, use is SlotUse.FIRST)
