"""The permission of a request that needs none."""


class PermanentPermission:
    """Represents a permission that does not end."""

    def check(self) -> None:
        """Does nothing, because nothing can end it."""


PERMANENT_PERMISSION = PermanentPermission()
