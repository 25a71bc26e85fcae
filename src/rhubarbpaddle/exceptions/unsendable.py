"""The error of a message that can't be sent."""

from typing import ClassVar

from rhubarbpaddle.exceptions.base import RhubarbpaddleError


class UnsendableError(RhubarbpaddleError):
    """A message can't be encoded or is too long; nothing of it was sent."""

    code: ClassVar[str] = "unsendable"
