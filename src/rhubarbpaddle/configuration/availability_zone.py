"""An availability zone of the configuration."""

from typing import NamedTuple


class AvailabilityZone(NamedTuple):
    """An availability zone and whether it may receive new requests.

    Attributes:
        name: The zone's name, as in the settings of its nodes.
        region: The region that the zone belongs to.
        in_service: False while operators keep new requests out of the zone.
    """

    name: str
    region: str
    in_service: bool
