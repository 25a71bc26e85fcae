"""A response to one of several pipelined requests."""

from typing import NamedTuple


class PipelinedResponse(NamedTuple):
    """A complete response.

    Attributes:
        status: Its status.
        body: Its body.
        is_signed: Whether it has an instance's signature.
        ends_connection: Whether the requests behind it count as not read.
        ended_at: When it was complete, in seconds.
    """

    status: int
    body: bytes
    is_signed: bool
    ends_connection: bool
    ended_at: float
