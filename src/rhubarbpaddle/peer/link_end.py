"""The end of a control link."""

from typing import NamedTuple

from rhubarbpaddle.exceptions import RhubarbpaddleError


class LinkEnd(NamedTuple):
    """How a control link ended.

    Attributes:
        peer: The node id of the neighbour, or its address if it is unknown.
        is_outgoing: Whether this node had opened the link.
        failure: Why it ended.
        seconds: How long it was open.
    """

    peer: str
    is_outgoing: bool
    failure: RhubarbpaddleError
    seconds: float
