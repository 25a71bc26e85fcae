"""The error of an append with unknown effect."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class AppendUnknownError(RhubarbpaddleError):
    """An append whose answer was lost; it may have taken effect."""

    code: ClassVar[str] = "append_unknown"
