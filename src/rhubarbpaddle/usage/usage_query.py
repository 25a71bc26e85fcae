"""What a gateway asks the owner of an organisation's usage cap."""

from typing import NamedTuple


class UsageQuery(NamedTuple):
    """Asks for tokens, each of which permits one request.

    Attributes:
        organisation: The name of the organisation.
        needed: Tokens for requests that wait for them.
        extra: Tokens for requests that are expected soon; granted only if there
            are plenty.
        refused: Requests that the gateway has refused since its last query
            without asking.
        returned: Tokens of an earlier grant that were not used.
        other_owner_age: Seconds since another owner has last granted tokens to
            this gateway; None if none has, or if this owner did so since.
    """

    organisation: str
    needed: int
    extra: int = 0
    refused: int = 0
    returned: int = 0
    other_owner_age: float | None = None
