"""The error of an unreachable log."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class LogUnavailableError(RhubarbpaddleError):
    """The platform's log did not answer, and nothing was appended."""

    code: ClassVar[str] = "log_unavailable"
