"""The choice of the instance for an attempt."""

from typing import NamedTuple

from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.spillover_reason import SpilloverReason


class InstanceChoice(NamedTuple):
    """An instance, and how the request is sent there.

    Attributes:
        candidate: The instance.
        may_queue: Whether the request may queue there.
        reason: Why it leaves its zone, or that it stays.
    """

    candidate: Candidate
    may_queue: bool
    reason: SpilloverReason
