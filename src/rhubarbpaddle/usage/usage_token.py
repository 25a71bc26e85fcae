"""The permission to run one request of a capped organisation."""

from typing import NamedTuple


class UsageToken(NamedTuple):
    """The permission to run one request of a capped organisation.

    Attributes:
        expires_at: Monotonic seconds until which it may be used or returned.
        usage_ratio: The organisation's recent requests at all nodes relative to
            its usage cap, or 0 if unknown.
    """

    expires_at: float
    usage_ratio: float
