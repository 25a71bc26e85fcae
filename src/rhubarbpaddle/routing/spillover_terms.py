"""The properties of a request that decide whether it leaves its zone."""

from typing import NamedTuple


class SpilloverTerms(NamedTuple):
    """The properties of a request that decide whether it leaves its zone.

    Attributes:
        service: The service that it is for.
        route: Its route, by which its bytes are learned.
        useful_until: Monotonic seconds of its latency target.
    """

    service: str
    route: str
    useful_until: float
