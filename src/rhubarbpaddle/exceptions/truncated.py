"""The error of a truncated message."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class TruncatedError(RhubarbpaddleError):
    """A connection ended before a message had arrived completely."""

    code: ClassVar[str] = "truncated"
