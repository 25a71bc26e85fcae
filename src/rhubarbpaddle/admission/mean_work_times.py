"""The mean duration of an instance's requests, by route."""

# Weight of the newest request in the mean of its route.
_NEWEST_WEIGHT = 0.1
# Assumed duration before the first request of a route has completed.
DEFAULT_WORK_SECONDS = 0.1


class MeanWorkTimes:
    """Moving averages of the time that requests take at normal speed."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def record(self, route: str, seconds: float) -> None:
        """Records the duration of a request.

        Args:
            route: The request's route.
            seconds: The time from its admission to the response head, divided
                by the instance's slowdown factor when it was admitted.
        """
        mean = self._means.setdefault(route, seconds)
        self._means[route] = mean + _NEWEST_WEIGHT * (seconds - mean)

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
