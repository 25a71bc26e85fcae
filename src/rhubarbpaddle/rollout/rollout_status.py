"""The status of a roll-out in the store."""

from typing import NamedTuple

from rhubarbpaddle.rollout.rollout_state import RolloutState


class RolloutStatus(NamedTuple):
    """What the store holds about a service's newest roll-out.

    Attributes:
        service: The service.
        target_version: The version that the order names.
        state: The state.
        order: The number of the order, or -1 if another program wrote the
            status.
        started_at: Seconds since the epoch at which the roll-out began, by the
            clock of the node that began it, or None.
    """

    service: str
    target_version: str
    state: RolloutState
    order: int
    started_at: float | None
