"""The error of an unavailable log or store."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class LogUnavailableError(RhubarbpaddleError):
    """The platform's log did not respond, and nothing was appended."""

    code: ClassVar[str] = "log_unavailable"
