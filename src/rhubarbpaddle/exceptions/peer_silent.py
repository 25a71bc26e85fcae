"""The error of a silent connection."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class PeerSilentError(RhubarbpaddleError):
    """A connection on which nothing arrived for longer than permitted."""

    code: ClassVar[str] = "peer_silent"
