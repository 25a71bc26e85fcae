"""The states of a roll-out that operators read."""

from enum import StrEnum

from rhubarbpaddle.rollout.rollout_phase import RolloutPhase


class RolloutState(StrEnum):
    """A state in the store."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    def get_terminal_phase(self) -> RolloutPhase | None:
        """Returns the phase that the state confirms, or None."""
        return _TERMINAL_PHASES.get(self)


_TERMINAL_PHASES = {
    RolloutState.COMPLETED: RolloutPhase.COMPLETED,
    RolloutState.ROLLED_BACK: RolloutPhase.ROLLED_BACK,
}
