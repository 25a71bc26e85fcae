"""A request that was read from a caller's connection."""

from typing import NamedTuple

import h11

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Request
from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.http.h11_body import H11Body


class ReadRequest(NamedTuple):
    """Holds what is known of a request once its head was read.

    Attributes:
        head: Its head as parsed by h11.
        body: Its body.
        request_id: The id that identifies it in logs and responses.
        read_at: When it was read, in monotonic seconds.
        presence: Detects whether the caller has disconnected.
        request: The request that the head represents, or None if refused.
        refusal: Why it is not run, or None.
    """

    head: h11.Request
    body: H11Body
    request_id: str
    read_at: float
    presence: CallerPresence
    request: Request | None
    refusal: RefusedError | None
