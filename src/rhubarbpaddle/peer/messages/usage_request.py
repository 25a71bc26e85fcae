"""Message that asks for the tokens of a usage cap."""

import msgspec

from rhubarbpaddle.usage.usage_query import UsageQuery


class UsageRequest(
    msgspec.Struct, array_like=True, tag="usage_query", frozen=True
):
    """Asks the owner of an organisation's usage cap for tokens.

    Attributes:
        query: Which organisation's tokens, and how many.
    """

    query: UsageQuery
