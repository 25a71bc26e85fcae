"""The load of one instance at one moment."""

from typing import NamedTuple

from rhubarbpaddle.membership import UpstreamState


class LoadReport(NamedTuple):
    """What the node beside an upstream counts; it travels with each answer.

    Attributes:
        in_flight: Requests that the upstream runs.
        queued: Requests that wait for a slot.
        limit: Requests that the upstream may run at once at present.
        state: The upstream's state.
        pace: How long work takes at present, as a multiple of the usual.
    """

    in_flight: int
    queued: int
    limit: int
    state: UpstreamState
    pace: float = 1.0
