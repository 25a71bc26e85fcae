"""The error of an append to a log with unknown outcome."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class AppendUnknownError(RhubarbpaddleError):
    """An append got no response; it may have taken effect."""

    code: ClassVar[str] = "append_unknown"
