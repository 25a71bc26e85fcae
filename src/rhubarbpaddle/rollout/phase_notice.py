"""The notice of a roll-out's phase that nodes pass on."""

from typing import NamedTuple

from rhubarbpaddle.rollout.rollout_phase import RolloutPhase


class PhaseNotice(NamedTuple):
    """The phase of a service's newest roll-out.

    Attributes:
        service: The service.
        order: The number of the order.
        phase: The phase that the roll-out has reached.
        target_version: The version that the order names, so that a node that
            does not know the order yet can stop requests to it.
    """

    service: str
    order: int
    phase: RolloutPhase
    target_version: str

    def supersedes(self, other: "PhaseNotice") -> bool:
        """Returns whether this notice replaces another of the service."""
        return (self.order, self.phase) > (other.order, other.phase)
