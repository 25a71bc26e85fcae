"""An upstream's answer on its way back to the caller."""

from typing import NamedTuple

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.request import Headers
from rhubarbpaddle.measuring import LoadReport


class Response(NamedTuple):
    """The head of an answer and its body.

    Attributes:
        status: The HTTP status.
        headers: End-to-end headers, names in lower case.
        body: The body, to be read to its end.
        report: The load of the instance when it answered.
    """

    status: int
    headers: Headers
    body: Body
    report: LoadReport | None
