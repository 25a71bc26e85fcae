"""Limits the share of a gateway's requests that a new version receives."""

# Requests that have been earned, but not sent, are forgotten beyond this, so
# that they do not follow each other closely.
_MAX_CREDIT = 1.0


class ExposureCredit:
    """Earns a fraction of a request with each request to the service.

    Many gateways send only a few requests during a roll-out. With an equal
    start, none of them would ever earn a whole request; with a random one, the
    expected number of requests at the target version is the share of all
    requests, whatever the number of gateways and restarts. Each gateway differs
    from its share by less than one request, with independent errors, so that
    the sum over 800 gateways has a standard deviation of at most 14 requests.
    """

    def __init__(self, share: float, first_cost: float) -> None:
        """Creates a credit that has earned nothing.

        Args:
            share: What each request earns.
            first_cost: What has to be earned before the first request, at most
                1. Each later one costs 1.
        """
        self._share = share
        self._balance = -first_cost

    def earn(self) -> None:
        """Records a request to the service, whichever version runs it."""
        self._balance = min(self._balance + self._share, _MAX_CREDIT)

    def can_spend(self) -> bool:
        """Returns whether a request may be sent to the target version."""
        return self._balance >= 0

    def spend(self) -> None:
        """Records a request that is sent to the target version."""
        self._balance -= 1
