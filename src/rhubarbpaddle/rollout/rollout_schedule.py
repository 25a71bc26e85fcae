"""When the phases of one roll-out are due to end."""

from datetime import timedelta

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_plan import RolloutPlan

# A new or restarted node has seen too few responses to end a trial early.
_MIN_TRIAL_SECONDS = 1.5


class RolloutSchedule:
    """Compares a roll-out's plan with the phases that this node has seen.

    Attributes:
        plan: The times at which the phases are to end.
    """

    def __init__(
        self,
        started_at: float,
        duration: timedelta,
        request_time: timedelta,
        clock: Clock,
    ) -> None:
        """Creates the schedule of a roll-out that is in no phase yet.

        Args:
            started_at: Monotonic seconds at which the order was written.
            duration: The time until its deadline.
            request_time: How long requests take at most.
            clock: The source of time.
        """
        self._duration = duration
        self._request_time = request_time
        self._clock = clock
        self._phase: RolloutPhase | None = None
        self._phase_seen_at = clock.monotonic()
        self.set_start(started_at)

    def set_start(self, started_at: float) -> None:
        """Sets when the order was written, in monotonic seconds."""
        self.plan = RolloutPlan.from_order(
            started_at, self._duration, self._request_time
        )

    def record_phase(self, phase: RolloutPhase | None) -> None:
        """Records the current phase."""
        if phase is not self._phase:
            self._phase = phase
            self._phase_seen_at = self._clock.monotonic()

    def get_last_decision(self) -> float:
        """Returns when the trial ends with the evidence so far."""
        return max(
            self.plan.last_decision, self._phase_seen_at + _MIN_TRIAL_SECONDS
        )

    def get_due_time(self) -> float:
        """Returns when the elected node should have ended the phase."""
        match self._phase:
            case RolloutPhase.TRIAL:
                return self.get_last_decision()
            case RolloutPhase.PROMOTION:
                return self._phase_seen_at + self.plan.promotion_seconds
            case _:
                return self._phase_seen_at
