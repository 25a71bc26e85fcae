"""The mean duration of an instance's requests, by route."""

# Weight of the newest request in the mean of its route.
_NEWEST_WEIGHT = 0.1
# Routes come and go with the configuration, several a minute. An instance
# serves those of one service.
_MAX_ROUTES = 200
# Assumed duration before the first request of a route has completed.
DEFAULT_WORK_SECONDS = 0.1


class MeanWorkTimes:
    """Moving averages of the time that requests take at normal speed.

    Those of the routes that were used last are kept.
    """

    def __init__(self) -> None:
        # In order of the latest request.
        self._means: dict[str, float] = {}

    def record(self, route: str, seconds: float) -> None:
        """Records the duration of a request.

        Args:
            route: The request's route.
            seconds: The time from its admission to the response head, divided
                by the instance's slowdown factor when it was admitted.
        """
        mean = self._means.pop(route, seconds)
        self._means[route] = mean + _NEWEST_WEIGHT * (seconds - mean)
        if len(self._means) > _MAX_ROUTES:
            del self._means[next(iter(self._means))]

    def is_known(self, route: str) -> bool:
        """Returns whether a request of a route has been recorded."""
        return route in self._means

    def get(self, route: str) -> float:
        """Returns the mean duration of a route's requests in seconds."""
        return self._means.get(route, DEFAULT_WORK_SECONDS)

    def get_mean(self) -> float:
        """Returns the mean duration over all routes in seconds."""
        if not self._means:
            return DEFAULT_WORK_SECONDS
        return sum(self._means.values()) / len(self._means)
