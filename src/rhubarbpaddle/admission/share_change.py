"""The event that an organisation goes above its share or returns to it."""

from typing import NamedTuple


class ShareChange(NamedTuple):
    """A change of an organisation's position at one instance.

    Attributes:
        organisation: The organisation.
        is_above_share: Whether it is above its share now.
        ratio: Its usage ratio.
        reference: The usage ratio that it is compared with.
    """

    organisation: str
    is_above_share: bool
    ratio: float
    reference: float
