"""The wait at an instance that refused to serve a request at once."""

from typing import NamedTuple

from rhubarbpaddle.routing.candidate import Candidate


class ReportedWait(NamedTuple):
    """What a refusal says about the queue of an instance.

    Attributes:
        candidate: The instance.
        seconds: The expected time until a request that queues there starts.
        queued: The requests in its queue.
    """

    candidate: Candidate
    seconds: float
    queued: int
