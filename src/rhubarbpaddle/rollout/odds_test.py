"""A sequential test whether the target version responds badly more often."""

import math
from collections.abc import Iterable
from typing import NamedTuple

# The tested odds as multiples of the tolerated ones. Their equal mixture
# detects small and large differences with few responses each.
_MULTIPLES = (2.0, 4.0, 8.0, 16.0, 32.0)


class Stratum(NamedTuple):
    """Responses of both versions under the same conditions.

    Attributes:
        target_bad: Bad responses of the target version.
        target_total: All responses of the target version.
        old_bad: Bad responses of the old version.
        old_total: All responses of the old version.
    """

    target_bad: int
    target_total: int
    old_bad: int
    old_total: int


class OddsTest:
    """Compares two versions by how their bad responses are divided.

    If both versions are equally good, each bad response is one of the target
    version with a probability that is the target's share of the responses. A
    fault that affects both versions changes the number of bad responses, but
    not their division. The evidence is a mixture of likelihood ratios. While
    the true odds ratio is at most the tolerated one, it is a supermartingale:
    the probability that it ever exceeds 1/a is at most a, however often it is
    computed (Ville's inequality).
    """

    def __init__(self, tolerated_odds: float) -> None:
        """Creates a test.

        Args:
            tolerated_odds: The ratio of the versions' odds of a bad response
                up to which the target version is good.
        """
        self._tolerated = tolerated_odds

    def get_log_evidence(self, strata: Iterable[Stratum]) -> float:
        """Returns the logarithm of the evidence against the target version."""
        usable = [
            stratum
            for stratum in strata
            if stratum.target_total
            and stratum.old_total
            and stratum.target_bad + stratum.old_bad
        ]
        if not usable:
            return 0.0
        log_ratios = [
            sum(self._get_log_ratio(stratum, multiple) for stratum in usable)
            for multiple in _MULTIPLES
        ]
        highest = max(log_ratios)
        total = sum(math.exp(ratio - highest) for ratio in log_ratios)
        return highest + math.log(total / len(log_ratios))

    def _get_log_ratio(self, stratum: Stratum, multiple: float) -> float:
        share = stratum.target_total / (
            stratum.target_total + stratum.old_total
        )
        accepted = _get_target_probability(share, self._tolerated)
        tested = _get_target_probability(share, self._tolerated * multiple)
        return stratum.target_bad * math.log(
            tested / accepted
        ) + stratum.old_bad * math.log((1 - tested) / (1 - accepted))


def _get_target_probability(share: float, odds: float) -> float:
    """Returns the probability that a bad response is one of the target."""
    return odds * share / (odds * share + 1 - share)
