"""The common base of all errors."""

from typing import ClassVar


class RhubarbpaddleError(Exception):
    """Base of all errors that the package raises.

    Attributes:
        code: A stable machine-readable name of the kind of error.
        detail: What went wrong, for a person.
        step: What was being done when the error arose.
        peer: The address or id of the far side, or `-` where there is none.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, detail: str, *, step: str, peer: str = "-") -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        return f"{self.detail} (step={self.step} peer={self.peer})"
