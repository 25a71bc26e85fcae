"""How much of the usage caps a measured deployment has."""

from enum import StrEnum


class CapVariant(StrEnum):
    """How much of the usage caps a measured deployment has.

    With `NONE` it has neither organisations nor the settings for usage caps,
    with `SETTINGS` only the settings, and with `CAPS` both.
    """

    NONE = "none"
    SETTINGS = "settings"
    CAPS = "caps"
