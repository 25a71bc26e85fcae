"""The error of a malformed or unexpected message."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class ProtocolError(RhubarbpaddleError):
    """The remote side sent something that the protocol does not permit."""

    code: ClassVar[str] = "protocol"
