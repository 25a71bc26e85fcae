"""An availability zone as the operators' text states it."""

from typing import NamedTuple


class AvailabilityZone(NamedTuple):
    """An availability zone and whether it may get new work.

    Attributes:
        name: The zone's name, as nodes have it in their settings.
        region: The region that the zone belongs to.
        in_service: False while the zone gets no new work.
    """

    name: str
    region: str
    in_service: bool
