"""A remark on a valid configuration."""

from typing import NamedTuple


class Finding(NamedTuple):
    """An entry that has no effect, or a contradiction between limits.

    Attributes:
        code: A stable name of the kind of finding, for scripts.
        subject: The entry that it is about.
        detail: What is wrong, and what follows from it.
    """

    code: str
    subject: str
    detail: str

    def __str__(self) -> str:
        return f"{self.subject}: {self.detail} [{self.code}]"
