"""The instances of a service whose version no order has named."""

from typing import NamedTuple


class ProbationGroups(NamedTuple):
    """The groups at one time.

    Attributes:
        limited: The nodes whose instance gets a limited share.
        released: The nodes whose instance gets requests without a limit.
        is_active: Whether a version is new, so that its share is limited.
        valid_until: Monotonic seconds at which the groups change.
    """

    limited: frozenset[str]
    released: frozenset[str]
    is_active: bool
    valid_until: float
