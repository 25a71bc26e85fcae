"""How long an instance works on the requests of each route."""

_WEIGHT = 0.1
# Where nothing is known yet.
DEFAULT_SECONDS = 0.1


class WorkTimes:
    """Running means of the time that requests take at the usual pace."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def note(self, route: str, seconds: float) -> None:
        """Notes how long a request took.

        Args:
            route: The request's route.
            seconds: From its admission to the answer's head, divided by the
                instance's pace when it was admitted.
        """
        mean = self._means.setdefault(route, seconds)
        self._means[route] = mean + _WEIGHT * (seconds - mean)

    def knows(self, route: str) -> bool:
        """Returns whether a request of a route was noted."""
        return route in self._means

    def get(self, route: str) -> float:
        """Returns the seconds that a request of a route usually takes."""
        return self._means.get(route, DEFAULT_SECONDS)

    def get_mean(self) -> float:
        """Returns the mean over all routes."""
        if not self._means:
            return DEFAULT_SECONDS
        return sum(self._means.values()) / len(self._means)
