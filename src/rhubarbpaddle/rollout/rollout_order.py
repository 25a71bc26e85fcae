"""An operator's order to roll out a version of a service."""

from datetime import timedelta
from typing import NamedTuple


class RolloutOrder(NamedTuple):
    """Requests that a service's requests move to another version.

    Attributes:
        service: The service.
        target_version: The version that is to receive all requests.
        duration: The time within which the roll-out must end.
        number: Identifies the order; a later order has a higher number.
    """

    service: str
    target_version: str
    duration: timedelta
    number: int
