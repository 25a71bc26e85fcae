"""Measures who is served at one instance while organisations send more.

Virtual time: an instance that serves 40 requests a second, quiet organisations
with 3 requests a second each, and hot ones. Prints, with unknown and with known
usage ratios, the parts of the requests that were served.
"""

from statistics import mean

import trio
from trio.testing import MockClock

from features.support.instance_admission_harness import (
    InstanceAdmissionHarness,
)
from features.support.organisation_load import (
    OrganisationLoad,
    ServiceRates,
    send_load,
)

_SEEDS = range(1, 11)
_QUIET = [OrganisationLoad(f"quiet-{number}", 3) for number in range(10)]
_SURGES = {
    "one at 7 times": [*_QUIET, OrganisationLoad("hot", 6, 7)],
    "two at 7 times": [
        *_QUIET,
        OrganisationLoad("hot-0", 6, 7),
        OrganisationLoad("hot-1", 6, 7),
    ],
    "one at its cap": [*_QUIET, OrganisationLoad("hot", 12, 1.6)],
    "one of priority 0 at 7 times": [*_QUIET, OrganisationLoad("hot", 6, 7, 0)],
    "all at 3 times": [
        OrganisationLoad(f"hot-{number}", 6, 3) for number in range(10)
    ],
}


def measure(
    loads: list[OrganisationLoad], seed: int, ratios_known: bool
) -> ServiceRates:
    """Returns the parts of the requests of a surge that were served."""

    async def run() -> ServiceRates:
        harness = InstanceAdmissionHarness(4, 1.0, 1000.0, 0.0)
        return await send_load(harness, loads, seed, ratios_known)

    return trio.run(run, clock=MockClock(autojump_threshold=0))


def _get_mean(rates: list[ServiceRates], prefix: str) -> float:
    values = [
        value
        for rate in rates
        for name, value in rate.by_organisation.items()
        if name.startswith(prefix)
    ]
    return mean(values) if values else float("nan")


def main() -> None:
    """Prints two lines for each surge."""
    for name, loads in _SURGES.items():
        for known in (False, True):
            rates = [measure(loads, seed, known) for seed in _SEEDS]
            worst = [rate.get_worst_tenth() / rate.total for rate in rates]
            print(
                f"surge={name!r} ratios_known={known}"
                f" all={mean(rate.total for rate in rates):.2f}"
                f" quiet={_get_mean(rates, 'quiet'):.2f}"
                f" hot={_get_mean(rates, 'hot'):.2f}"
                f" worst_mean={mean(worst):.2f} worst_least={min(worst):.2f}"
            )


if __name__ == "__main__":
    main()
