"""Message that requests a request's body from the gateway."""

import msgspec


class Admitted(msgspec.Struct, array_like=True, tag="admitted", frozen=True):
    """Reports that a call has a slot and its body can be sent.

    Attributes:
        request_id: The id of the admitted request.
    """

    request_id: str
