"""The error of a connection that exceeds its receive timeout."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class PeerSilentError(RhubarbpaddleError):
    """Nothing arrived on a connection within the permitted time."""

    code: ClassVar[str] = "peer_silent"
