"""The limits on the retries of all nodes together."""

from datetime import timedelta
from typing import NamedTuple


class RetryTerms(NamedTuple):
    """Limits the retries of all nodes together over a sliding window.

    Attributes:
        ratio: Retries permitted for each request.
        slack: Retries permitted in a window regardless of its requests.
        window: The duration over which requests and retries are counted.
    """

    ratio: float
    slack: float
    window: timedelta
