"""Message that grants tokens of a usage cap."""

import msgspec

from rhubarbpaddle.usage.usage_grant import UsageGrant


class UsageResponse(
    msgspec.Struct, array_like=True, tag="usage_grant", frozen=True
):
    """Answers a `UsageRequest`, in the order of the requests.

    Attributes:
        grant: The tokens granted, or the time until there is one.
    """

    grant: UsageGrant
