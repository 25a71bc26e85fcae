"""Load of several organisations on one simulated instance."""

import random
from collections import Counter
from typing import NamedTuple

import trio

from features.support.instance_admission_harness import (
    InstanceAdmissionHarness,
)

# Usage caps are this multiple of the usual demand.
_CAP_FACTOR = 1.6
# The period over which usage ratios are measured.
_USAGE_SECONDS = 1.0
# The greatest relative error of a usage ratio.
_RATIO_NOISE = 0.2
_USUAL_SECONDS = 2.0
_SURGE_SECONDS = 6.0


class OrganisationLoad(NamedTuple):
    """The demand of one organisation.

    Attributes:
        name: The organisation.
        rate: Its usual requests per second at the instance.
        surge: The multiple of its usual demand during the surge.
        priority: The priority of its requests.
    """

    name: str
    rate: float
    surge: float = 1.0
    priority: int = 1

    def get_demand(self, now: float) -> float:
        """Returns the multiple of its usual demand."""
        return self.surge if now >= _USUAL_SECONDS else 1.0

    def get_usage_ratio(self, now: float) -> float:
        """Returns its usage ratio, which lags behind its demand."""
        part = (now - _USUAL_SECONDS) / _USAGE_SECONDS
        return (1 + (self.surge - 1) * min(1.0, max(0.0, part))) / _CAP_FACTOR


class ServiceRates(NamedTuple):
    """The part of the requests that were served.

    Attributes:
        by_organisation: The part of each organisation's.
        total: The part of all organisations'.
    """

    by_organisation: dict[str, float]
    total: float

    def get_worst_tenth(self) -> float:
        """Returns the mean of the worst-served tenth of organisations."""
        rates = sorted(self.by_organisation.values())
        worst = rates[: max(1, len(rates) // 10)]
        return sum(worst) / len(worst)


async def send_load(
    harness: InstanceAdmissionHarness,
    loads: list[OrganisationLoad],
    seed: int,
    ratios_known: bool = True,
) -> ServiceRates:
    """Sends 2 s of usual load and a surge of 6 s; counts those of the surge.

    Args:
        harness: The instance.
        loads: The demand of each organisation.
        seed: The seed of the arrival times and of the noise of the ratios.
        ratios_known: Whether requests carry a usage ratio.
    """
    sent: Counter[str] = Counter()

    async def send_organisation(load: OrganisationLoad) -> None:
        rng = random.Random(f"{seed} {load.name}")
        while True:
            demand = load.get_demand(trio.current_time())
            await trio.sleep(rng.expovariate(load.rate * demand))
            now = trio.current_time()
            if now >= _USUAL_SECONDS + _SURGE_SECONDS:
                return
            noise = 1 + rng.uniform(-_RATIO_NOISE, _RATIO_NOISE)
            ratio = load.get_usage_ratio(now) * noise * ratios_known
            sent[load.name] += now >= _USUAL_SECONDS
            requests.start_soon(send_request, load, ratio)

    async def send_request(load: OrganisationLoad, ratio: float) -> None:
        await harness.send_request(
            load.name,
            latency_target=0.5,
            deadline=1.5,
            priority=load.priority,
            organisation=load.name,
            usage_ratio=ratio,
        )

    async with trio.open_nursery() as requests, trio.open_nursery() as senders:
        for load in loads:
            senders.start_soon(send_organisation, load)
    served = Counter(
        name for name, at in harness.started if at >= _USUAL_SECONDS
    )
    return ServiceRates(
        {name: served[name] / count for name, count in sent.items()},
        served.total() / sent.total(),
    )
