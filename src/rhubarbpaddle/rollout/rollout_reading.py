"""What the metrics show of a roll-out."""

from typing import NamedTuple

from rhubarbpaddle.rollout.rollout_phase import RolloutPhase


class RolloutReading(NamedTuple):
    """The newest roll-out of a service as one node knows it.

    Attributes:
        service: The service.
        target_version: The version that the order names.
        phase: The phase.
        responses: Responses of the target version at all nodes; 0 once the
            roll-out has ended.
        failures: How many of them failed.
    """

    service: str
    target_version: str
    phase: RolloutPhase
    responses: int
    failures: int
