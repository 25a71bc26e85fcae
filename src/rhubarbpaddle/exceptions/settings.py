"""The error of invalid settings."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class SettingsError(RhubarbpaddleError):
    """Settings can't be read or are invalid; `detail` names the field."""

    code: ClassVar[str] = "invalid_settings"
