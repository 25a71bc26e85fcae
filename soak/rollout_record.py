"""A roll-out of a run."""

from typing import NamedTuple

FINAL_STATES = frozenset({"completed", "rolled_back"})


class RolloutRecord(NamedTuple):
    """What operators ordered and read.

    Attributes:
        target_version: The version that was ordered.
        is_bad: Whether instances of this version fail a part of their requests.
        ordered_at: When the order was written, in seconds.
        deadline: When it must have ended.
        states: The states in the store, the oldest first.
        ended_at: When operators read a final state; infinite if there is none.
    """

    target_version: str
    is_bad: bool
    ordered_at: float
    deadline: float
    states: tuple[str, ...]
    ended_at: float

    @property
    def final_state(self) -> str:
        """The first final state, or empty if there is none."""
        return next(
            (state for state in self.states if state in FINAL_STATES), ""
        )
