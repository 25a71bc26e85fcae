"""The error of a message that was cut short."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class TruncatedError(RhubarbpaddleError):
    """A connection ended before the whole message had arrived."""

    code: ClassVar[str] = "truncated"
