"""The error of invalid settings."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class SettingsError(RhubarbpaddleError):
    """A node's settings are invalid; the detail names the field."""

    code: ClassVar[str] = "invalid_settings"
