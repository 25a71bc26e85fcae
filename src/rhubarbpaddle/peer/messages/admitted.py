"""The sidecar's request for a body."""

import msgspec


class Admitted(msgspec.Struct, array_like=True, tag="admitted", frozen=True):
    """The call has a slot; its body may be sent.

    Attributes:
        request_id: The request that was admitted.
    """

    request_id: str
