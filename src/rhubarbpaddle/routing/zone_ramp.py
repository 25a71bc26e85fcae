"""The gradual return of availability zones to service."""

from rhubarbpaddle.configuration.configuration import Configuration

# A returning zone starts with a tenth of its weight and reaches its full weight
# after this time, so that caches fill and connections open gradually.
RAMP_SECONDS = 2.0
_INITIAL_WEIGHT = 0.1


class ZoneRamp:
    """Raises the weight of an availability zone gradually after its return."""

    def __init__(self) -> None:
        self._cfg: Configuration | None = None
        self._returned_at: dict[str, float] = {}

    def observe(self, cfg: Configuration, now: float) -> None:
        """Records which zones a configuration returns to service.

        Args:
            cfg: The configuration in force.
            now: Monotonic seconds.
        """
        previous = self._cfg
        if cfg is previous:
            return
        self._cfg = cfg
        if previous is None:
            return
        for name, zone in cfg.availability_zones.items():
            previous_zone = previous.availability_zones.get(name)
            if previous_zone is None or not zone.in_service:
                continue
            if not previous_zone.in_service:
                self._returned_at[name] = now

    def get_weight(self, availability_zone: str, now: float) -> float:
        """Returns a zone's current weight, above 0 and at most 1."""
        returned_at = self._returned_at.get(availability_zone)
        if returned_at is None:
            return 1.0
        progress = (now - returned_at) / RAMP_SECONDS
        if progress >= 1:
            del self._returned_at[availability_zone]
            return 1.0
        return max(_INITIAL_WEIGHT, progress)
