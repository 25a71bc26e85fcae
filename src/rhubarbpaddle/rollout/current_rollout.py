"""The newest roll-out of a service as one node knows it."""

from typing import NamedTuple

from rhubarbpaddle.rollout.rollout_phase import RolloutPhase


class CurrentRollout(NamedTuple):
    """A roll-out and its phase.

    Attributes:
        order: The number of the order.
        target_version: The version that the order names.
        phase: The phase, or None if it is unknown.
    """

    order: int
    target_version: str
    phase: RolloutPhase | None

    @property
    def is_counting(self) -> bool:
        """Whether responses are counted for a comparison."""
        return self.phase in (RolloutPhase.TRIAL, RolloutPhase.PROMOTION)

    @property
    def has_ended(self) -> bool:
        """Whether the state in the store is a terminal one."""
        return self.phase is not None and self.phase.is_terminal
