"""How many requests an upstream can run concurrently."""

from rhubarbpaddle.admission.cold_start_detector import ColdStartDetector
from rhubarbpaddle.admission.cold_start_ramp import ColdStartRamp
from rhubarbpaddle.admission.concurrency_limit import ConcurrencyLimit
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.measuring import Evidence
from rhubarbpaddle.membership import UpstreamState

# How long an announced `cold` state keeps the limit at 1. It is bounded in case
# the upstream never announces another state.
_ANNOUNCED_COLD_SECONDS = 30.0
# A timeout counts against the upstream only if the request ran for at least
# this multiple of the warm latency. With a shorter deadline, a warm upstream
# may time out as well.
_MIN_TIMEOUT_RATIO = 2.0
_ACCEPTING_STATES = (UpstreamState.COLD, UpstreamState.WARM)


class UpstreamCapacity:
    """Switches between the limits of a cold and of a warm upstream.

    The limit rises step by step during a cold start (`ColdStartRamp`) and
    follows the latency afterwards (`ConcurrencyLimit`).

    Attributes:
        announced_state: The state that the upstream has announced.
    """

    def __init__(
        self, slots: int, baseline: float | None, clock: Clock
    ) -> None:
        """Creates the capacity of a cold upstream.

        Args:
            slots: The hard limit of requests in flight.
            baseline: The warm latency in seconds as measured for an earlier
                incarnation, or None if it is unknown.
            clock: The source of time.
        """
        now = clock.monotonic()
        self.announced_state = UpstreamState.WARM
        self._announced_at = now
        self._slots = slots
        self._clock = clock
        self._warm_limit = ConcurrencyLimit(slots, now, baseline)
        self._ramp: ColdStartRamp | None = ColdStartRamp(slots, baseline, now)
        self._detector = ColdStartDetector()

    @property
    def baseline(self) -> float | None:
        """The warm latency in seconds, or None if it is unknown."""
        return self._warm_limit.baseline

    @property
    def is_accepting(self) -> bool:
        """Whether the upstream accepts requests in its announced state."""
        return self.announced_state in _ACCEPTING_STATES

    def get_state(self) -> UpstreamState:
        """Returns the state for other nodes, which is cold during the ramp."""
        if (
            self.announced_state is UpstreamState.WARM
            and self._ramp is not None
        ):
            return UpstreamState.COLD
        return self.announced_state

    def get_limit(self) -> int:
        """Returns the current limit of requests in flight, at least 1."""
        if self._ramp is None:
            return min(self._slots, self._warm_limit.get())
        if self.announced_state is UpstreamState.COLD:
            age = self._clock.monotonic() - self._announced_at
            if age < _ANNOUNCED_COLD_SECONDS:
                return 1
        return min(self._slots, self._ramp.limit)

    def set_slots(self, slots: int) -> None:
        """Applies a changed hard limit."""
        self._slots = slots
        self._warm_limit.set_slots(slots)
        if self._ramp is not None:
            self._ramp.set_slots(slots)

    def set_state(self, state: UpstreamState) -> None:
        """Applies the state that the upstream announces.

        `cold`, and any transition from `leaving` or `down` to a state that
        accepts work, begins a cold start. `warm` does not end one.
        """
        resumed = not self.is_accepting and state in _ACCEPTING_STATES
        turned_cold = (
            state is UpstreamState.COLD
            and self.announced_state is not UpstreamState.COLD
        )
        if state is not self.announced_state:
            self._announced_at = self._clock.monotonic()
        self.announced_state = state
        if resumed or turned_cold:
            self._start_ramp()

    def begin_cold_start(self) -> None:
        """Begins a cold start unless one is in progress."""
        if self._ramp is None:
            self._start_ramp()

    def is_deadline_too_short(self, elapsed: float) -> bool:
        """Returns whether a warm upstream may time out as well.

        Args:
            elapsed: The seconds for which the request ran.
        """
        baseline = self._warm_limit.baseline
        return baseline is not None and elapsed < _MIN_TIMEOUT_RATIO * baseline

    def record(
        self, evidence: Evidence, started: float, concurrency: int, now: float
    ) -> None:
        """Records how one request ended.

        Args:
            evidence: How the request ended.
            started: Monotonic seconds at which it started.
            concurrency: Requests in flight when it started, including it.
            now: Monotonic seconds.
        """
        if self._ramp is not None:
            self._ramp.record(evidence, started, concurrency, now)
            if self._ramp.finished:
                self._warm_limit.restart(
                    self._ramp.limit, self._ramp.lowest_mean, now
                )
                self._ramp = None
            return
        if self._detector.record(
            evidence,
            concurrency,
            self._warm_limit.proven_concurrency,
            self._warm_limit.baseline,
        ):
            self._start_ramp()
            return
        self._warm_limit.record(evidence, started, concurrency, now)

    def _start_ramp(self) -> None:
        now = self._clock.monotonic()
        self._detector.restart()
        self._ramp = ColdStartRamp(self._slots, self._warm_limit.baseline, now)
