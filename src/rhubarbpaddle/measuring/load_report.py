"""The load of one instance, as reported by the node beside it."""

from typing import NamedTuple

from rhubarbpaddle.membership import UpstreamState


class LoadReport(NamedTuple):
    """The load of an upstream, sent with each response and refusal.

    Attributes:
        in_flight: Requests that the upstream runs.
        queued: Requests that wait for a slot.
        limit: The current limit of requests in flight.
        state: The upstream's state.
        slowdown: The slowdown factor: the current duration of work as a
            multiple of the usual duration.
    """

    in_flight: int
    queued: int
    limit: int
    state: UpstreamState
    slowdown: float = 1.0
