"""Measures which requests count as above their share in a whole fleet.

76 instances, 80 organisations whose demand follows a power law (exponent 1.2),
660 requests a second, caps of 1.6 times the usual demand, Poisson arrivals.
The usage ratio is the number of an organisation's requests of the last second
relative to its cap. Prints the fraction that yields, for the hot organisation,
for the ten largest others and for the rest.
"""

import bisect
import itertools
import random
from collections import Counter, deque
from typing import NamedTuple

from rhubarbpaddle.admission.fair_share import FairShare

_INSTANCES = 76
_ORGANISATIONS = 80
_EXPONENT = 1.2
_REQUESTS_PER_SECOND = 660
_CAP_FACTOR = 1.6
_SECONDS = 40.0
_SETTLE_SECONDS = 5.0


class Demand(NamedTuple):
    """The demand relative to the usual one.

    Attributes:
        name: Its name.
        usual: The multiple of the organisations that are not hot.
        hot_rank: The rank of the hot organisation by size, or -1 for none.
        hot: Its multiple.
    """

    name: str
    usual: float = 1.0
    hot_rank: int = -1
    hot: float = 1.0


_DEMANDS = (
    Demand("usual"),
    Demand("all at their caps", 1.6),
    Demand("all at 3 times", 3.0),
    Demand("largest at its cap", 1.0, 0, 1.6),
    Demand("third at its cap", 1.0, 2, 1.6),
    Demand("third at 7 times", 1.0, 2, 7.0),
    Demand("20th at 7 times", 1.0, 19, 7.0),
    Demand("20th at its cap", 1.0, 19, 1.6),
)


def measure(demand: Demand, seed: int) -> dict[str, float]:
    """Returns the fraction of requests that yield, by group."""
    rng = random.Random(seed)
    weights = [rank**-_EXPONENT for rank in range(1, _ORGANISATIONS + 1)]
    usual = [_REQUESTS_PER_SECOND * w / sum(weights) for w in weights]
    rates = [
        rate * (demand.hot if rank == demand.hot_rank else demand.usual)
        for rank, rate in enumerate(usual)
    ]
    cumulative = list(itertools.accumulate(rates))
    shares = [FairShare() for _ in range(_INSTANCES)]
    recent: list[deque[float]] = [deque() for _ in rates]
    requests: Counter[str] = Counter()
    yielding: Counter[str] = Counter()
    now = 0.0
    while now < _SECONDS:
        now += rng.expovariate(cumulative[-1])
        rank = bisect.bisect(cumulative, rng.random() * cumulative[-1])
        times = recent[rank]
        times.append(now)
        while times[0] < now - 1:
            times.popleft()
        share = rng.choice(shares)
        name = str(rank)
        share.record(name, len(times) / (_CAP_FACTOR * usual[rank]), now)
        is_above_share = share.count_next(name)
        if now > _SETTLE_SECONDS:
            group = "large" if rank < 10 else "small"
            group = "hot" if rank == demand.hot_rank else group
            requests[group] += 1
            yielding[group] += is_above_share
    return {group: yielding[group] / requests[group] for group in requests}


def main() -> None:
    """Prints a line for each demand."""
    for demand in _DEMANDS:
        fractions = measure(demand, seed=1)
        print(
            f"demand={demand.name!r}",
            *(f"{group}={fractions[group]:.3f}" for group in sorted(fractions)),
        )


if __name__ == "__main__":
    main()
