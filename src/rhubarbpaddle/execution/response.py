"""An upstream's response on its way back to the caller."""

from typing import NamedTuple

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Headers
from rhubarbpaddle.measuring import LoadReport


class Response(NamedTuple):
    """Holds the head and the body of a response.

    Attributes:
        status: The HTTP status.
        headers: End-to-end headers with names in lower case.
        body: The body, which the receiver reads to its end.
        report: The load of the instance when it responded, if known.
    """

    status: int
    headers: Headers
    body: Body
    report: LoadReport | None
