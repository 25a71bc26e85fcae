"""The operators' tolerance around usage caps."""

from datetime import timedelta
from typing import NamedTuple


class QuotaTerms(NamedTuple):
    """How far the requests of an organisation may exceed its usage cap.

    In any window, all nodes together may run this many requests:
    (rate x window + burst) x (1 + overage) + slack.

    Attributes:
        window: The length of the window.
        overage: The tolerated excess as a fraction of the cap.
        slack: The tolerated excess in requests, in addition.
    """

    window: timedelta
    overage: float
    slack: float
