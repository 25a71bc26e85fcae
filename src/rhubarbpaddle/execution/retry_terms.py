"""What all nodes together may repeat."""

from datetime import timedelta
from typing import NamedTuple


class RetryTerms(NamedTuple):
    """What all nodes together may repeat.

    Attributes:
        ratio: Retries for each request.
        slack: Retries in a window that need no request.
        window: The span over which both are counted.
    """

    ratio: float
    slack: float
    window: timedelta
