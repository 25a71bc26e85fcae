"""The presence of a caller that can't leave."""


class PresentCaller:
    """Stands for requests that no connection carries."""

    def has_left(self) -> bool:
        """Returns False."""
        return False


PRESENT_CALLER = PresentCaller()
