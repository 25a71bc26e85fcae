"""The attributes of a measurement."""

from typing import TypeAlias

# Pairs of name and value, in an order that is fixed for each instrument, so
# that equal attributes are equal keys.
Attributes: TypeAlias = tuple[tuple[str, str | int], ...]
