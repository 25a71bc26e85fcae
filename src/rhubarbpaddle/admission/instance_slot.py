"""The permission to run one request on the instance beside a node."""

from collections.abc import Callable

from rhubarbpaddle.measuring import Evidence


class InstanceSlot:
    """A slot that reports once, on release, how its request ended."""

    def __init__(self, on_release: Callable[[Evidence], None]) -> None:
        self._on_release: Callable[[Evidence], None] | None = on_release

    def release(self, evidence: Evidence) -> None:
        """Releases the slot; a second call has no effect."""
        on_release, self._on_release = self._on_release, None
        if on_release is not None:
            on_release(evidence)
