"""A large response of an instance, and how sending it ends."""

from typing import NamedTuple


class LargeResponse(NamedTuple):
    """Describes the body of the responses to requests.

    Attributes:
        length: The length of the body in bytes.
        chunked: Whether it is sent in chunks, without its length.
        fails_after: The connection is closed after so many bytes of the body;
            None if it is sent to its end.
        pause_seconds: The pause after each part of 16 KiB.
        pattern: What the body repeats.
    """

    length: int
    chunked: bool = False
    fails_after: int | None = None
    pause_seconds: float = 0.0
    pattern: bytes = bytes(range(251))

    def make_body(self) -> bytes:
        """Returns the whole body."""
        count = self.length // len(self.pattern) + 1
        return (self.pattern * count)[: self.length]
