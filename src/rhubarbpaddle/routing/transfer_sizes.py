"""The bytes that requests of a route transfer."""

# Weight of the newest request in the mean of its route.
_NEWEST_WEIGHT = 0.2
# Routes come and go with the configuration, several a minute.
_MAX_ROUTES = 1_000
# Assumed for a route before its first response.
_DEFAULT_BYTES = 4096.0


class TransferSizes:
    """Moving averages of the bytes of request and response, by route.

    The means of the routes that were used last are kept.
    """

    def __init__(self) -> None:
        # In order of the latest request.
        self._means: dict[str, float] = {}

    def observe(self, route: str, length: int) -> None:
        """Records the bytes of a request's and its response's bodies."""
        mean = self._means.pop(route, length)
        self._means[route] = mean + _NEWEST_WEIGHT * (length - mean)
        if len(self._means) > _MAX_ROUTES:
            del self._means[next(iter(self._means))]

    def get(self, route: str) -> float:
        """Returns the expected bytes of a request of the route."""
        return self._means.get(route, _DEFAULT_BYTES)
