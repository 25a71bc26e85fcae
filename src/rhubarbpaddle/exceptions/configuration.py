"""The error of an invalid configuration."""

from collections.abc import Sequence
from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class ConfigurationError(RhubarbpaddleError):
    """The configuration that operators wrote is invalid.

    Attributes:
        problems: One line for each problem, with its position in the
            configuration text.
    """

    code: ClassVar[str] = "invalid_configuration"

    def __init__(self, problems: Sequence[str], *, step: str) -> None:
        super().__init__("; ".join(problems), step=step)
        self.problems = tuple(problems)
