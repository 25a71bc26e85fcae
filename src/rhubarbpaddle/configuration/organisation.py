"""An organisation of the configuration."""

from typing import NamedTuple


class Organisation(NamedTuple):
    """An organisation whose requests get a fair share of each upstream.

    Attributes:
        name: The name by which upstreams, logs and metrics know it.
        weight: Its weight relative to other organisations when requests compete
            for an upstream.
        priority: The priority of its requests, which takes precedence over that
            of their routes, or None.
        rate: Requests per second that all nodes together admit; 0 if unlimited.
        burst: Requests beyond the rate that they admit at once.
    """

    name: str
    weight: int = 1
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0

    @property
    def is_capped(self) -> bool:
        """Whether a usage cap applies to its requests."""
        return self.rate > 0
