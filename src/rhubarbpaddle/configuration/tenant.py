"""A tenant as the operators' text states it."""

from typing import NamedTuple


class Tenant(NamedTuple):
    """A club or parish whose requests get a fair share.

    Attributes:
        name: The name that callers give in `Rhubarbpaddle-Tenant`.
        weight: The share of an upstream relative to other tenants.
    """

    name: str
    weight: int = 1
