"""The presence of a caller that can't leave."""


class AlwaysConnectedCaller:
    """Stands for requests that no connection carries."""

    def has_left(self) -> bool:
        """Returns False."""
        return False


ALWAYS_CONNECTED_CALLER = AlwaysConnectedCaller()
