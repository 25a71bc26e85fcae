"""The base class of all errors."""

from typing import ClassVar


class RhubarbpaddleError(Exception):
    """The base class of all errors that the package raises.

    Attributes:
        code: The kind of error, as a stable machine-readable name.
        detail: The description of the error for humans.
        step: The operation that failed.
        peer: The address or id of the remote side, or the file; `-` if there
            is none.
    """

    code: ClassVar[str] = "internal"

    def __init__(self, detail: str, *, step: str, peer: str = "-") -> None:
        super().__init__(detail)
        self.detail = detail
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        return f"{self.detail} (step={self.step} peer={self.peer})"
