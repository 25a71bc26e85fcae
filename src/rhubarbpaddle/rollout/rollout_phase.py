"""The phases of a roll-out."""

from enum import IntEnum


class RolloutPhase(IntEnum):
    """A phase; of two phases of the same order, the higher one applies.

    `TRIAL` sends a limited share of requests to the target version.
    `PROMOTION` sends it all new requests. `STOPPED` sends it none: a node has
    evidence against it, and the state is not written yet. `COMPLETED` and
    `ROLLED_BACK` are in the store. Conditional writes ensure that only one of
    them is ever written for an order, so their relative rank has no effect.
    """

    TRIAL = 1
    PROMOTION = 2
    STOPPED = 3
    COMPLETED = 4
    ROLLED_BACK = 5

    @property
    def is_terminal(self) -> bool:
        """Whether the roll-out has ended."""
        return self >= RolloutPhase.COMPLETED

    @property
    def is_stopped(self) -> bool:
        """Whether the target version must not receive any requests."""
        return self in (RolloutPhase.STOPPED, RolloutPhase.ROLLED_BACK)
