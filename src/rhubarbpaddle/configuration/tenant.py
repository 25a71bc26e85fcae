"""A tenant of the configuration."""

from typing import NamedTuple


class Tenant(NamedTuple):
    """An organisation whose requests get a fair share of each upstream.

    Attributes:
        name: The value of the `Rhubarbpaddle-Tenant` request header.
        weight: The tenant's weight relative to other tenants when requests
            compete for an upstream.
    """

    name: str
    weight: int = 1
