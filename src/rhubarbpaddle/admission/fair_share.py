"""Decides which requests of an organisation are within its share."""

import math
from collections.abc import Callable

from rhubarbpaddle.admission.organisation_use import OrganisationUse
from rhubarbpaddle.admission.recent_usage_ratios import (
    PERIOD_SECONDS,
    RecentUsageRatios,
)
from rhubarbpaddle.admission.share_change import ShareChange

# An organisation goes above its share at the first multiple of the others'
# usage ratio and returns to it below the second. Ratios are counts over about
# one second, which vary by a quarter for an organisation with 15 requests. One
# that fills its cap, at 1.6 times its usual demand, exceeds the first.
_ENTER_FACTOR = 1.4
_LEAVE_FACTOR = 1.2
# How long its ratio must be above the first. When all organisations send more,
# those seen last have a higher ratio than the others for about this long, and
# a small organisation's ratio is high for a moment by chance.
_MIN_HIGH_SECONDS = 0.3
# Least part of an organisation's requests that is within its share. Without it,
# one at 7 times its usual demand could be served less than a quarter as often
# as all organisations together; the excess over a quarter is a reserve for
# decisions from outdated ratios.
_MIN_SHARE_FRACTION = 1 / 3
# Time constant with which the usage ratio falls during a pause, as in
# `usage.demand_rate`.
_USAGE_DECAY_SECONDS = 1.0


class FairShare:
    """Compares the organisations whose requests an instance gets.

    Load pattern: one or a few organisations send several times their usual
    demand while others send as usual. The instances' capacity is shared in
    proportion to the usage caps (max-min): an organisation that uses `n` times
    as much of its cap as the others has one in `n` requests within its share,
    and the others above it. If all organisations send more, the reference
    rises with them and none is above its share.
    """

    def __init__(
        self, on_change: Callable[[ShareChange], None] | None = None
    ) -> None:
        """Creates a comparison without any organisation.

        Args:
            on_change: Called when an organisation goes above its share or
                returns to it.
        """
        self._ratios = RecentUsageRatios()
        self._on_change = on_change

    def record(self, organisation: str, ratio: float, now: float) -> None:
        """Records the usage ratio of a request, which must not be 0.

        Args:
            organisation: The organisation of the request.
            ratio: Its recent requests at all nodes relative to its usage cap.
            now: Monotonic seconds.
        """
        previous = self._ratios.get(organisation)
        use = OrganisationUse(ratio, now)
        if previous is not None:
            use = previous._replace(ratio=ratio, seen_at=now)
        self._ratios.record(organisation, use)
        reference = self._ratios.get_reference()
        factor = _LEAVE_FACTOR if use.is_above_share else _ENTER_FACTOR
        high_since = math.inf
        if ratio > factor * reference:
            high_since = min(use.high_since, now)
        is_above_share = now - high_since >= _MIN_HIGH_SECONDS
        if use.is_above_share:
            is_above_share = high_since <= now
        self._ratios.replace(
            organisation,
            use._replace(high_since=high_since, is_above_share=is_above_share),
        )
        if is_above_share is not use.is_above_share and self._on_change:
            self._on_change(
                ShareChange(organisation, is_above_share, ratio, reference)
            )

    def is_next_above_share(self, organisation: str) -> bool:
        """Returns whether the next request of an organisation must yield."""
        use = self._ratios.get(organisation)
        return (
            use is not None
            and use.is_above_share
            and self._compute_next_credit(use) < 1
        )

    def count_next(self, organisation: str) -> bool:
        """Returns whether the next request must yield, and counts it.

        The part within its share is thus spread evenly over the requests of an
        organisation above it.
        """
        use = self._ratios.get(organisation)
        if use is None or not use.is_above_share:
            return False
        credit = self._compute_next_credit(use)
        must_yield = credit < 1
        if not must_yield:
            credit -= 1
        self._ratios.replace(organisation, use._replace(credit=credit))
        return must_yield

    def _compute_next_credit(self, use: OrganisationUse) -> float:
        """Returns the credit of an organisation with that of its next request.

        The request is within its share if the result is at least 1.
        """
        fraction = self._ratios.get_reference() / use.ratio
        return use.credit + max(_MIN_SHARE_FRACTION, min(1.0, fraction))

    def count_above_share(self, now: float) -> int | None:
        """Returns how many organisations are above their share.

        Args:
            now: Monotonic seconds.

        Returns:
            The number, or None before the first usage ratio.
        """
        if not self._ratios:
            return None
        return sum(use.is_above_share for use in self._ratios.list_recent(now))

    def get_excess_seconds(self, organisation: str) -> float:
        """Returns how long an organisation must pause to be within its share.

        The usage ratio falls exponentially during a pause. An organisation
        that was not seen for longer than the period counts as new.
        """
        use = self._ratios.get(organisation)
        if use is None:
            return 0.0
        reference = self._ratios.get_reference()
        if not math.isfinite(reference):
            return 0.0
        seconds = _USAGE_DECAY_SECONDS * math.log(use.ratio / reference)
        return min(PERIOD_SECONDS, max(0.0, seconds))
