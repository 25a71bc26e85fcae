"""Measures the choice of an instance on the users' platform.

Prints microseconds for the first choice of a request on a calm deployment, for
the choices of a request that two instances of its zone refuse and another zone
serves, and for a choice of the router alone.
"""

import random
import time
from collections.abc import Callable

import trio

from bench.routing_scale import make_table
from features.support.recorded_events import RecordedEvents
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution import Request
from rhubarbpaddle.execution.instance_chooser import InstanceChooser
from rhubarbpaddle.execution.route_attempt_history import RouteAttemptHistory
from rhubarbpaddle.execution.zone_choice_record import ZoneChoiceRecord
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.routing.instance_router import InstanceRouter
from rhubarbpaddle.routing.zone_spillover import ZoneSpillover

_SIZES = (50, 200, 800)
_REQUESTS = 300
_ROUNDS = 50
_SERVICE = "s0"
_FULL_REPORT = LoadReport(6, 9, 4, UpstreamState.WARM)


async def measure(members: int) -> tuple[float, float, float]:
    """Returns the three durations with the given number of members."""
    clock, rng = VirtualClock(), random.Random(1)
    table = make_table(members)
    router = InstanceRouter(table, clock, rng, lambda zone: True)
    record = ZoneChoiceRecord(clock, RecordedEvents())
    spillover = ZoneSpillover(router, clock, rng)
    chooser = InstanceChooser(router, spillover, record, clock)
    request = Request(
        "r", "", _SERVICE, "GET", "/", [], 2.0, True, useful_until=0.5
    )

    def choose_first() -> None:
        chooser.choose(request, RouteAttemptHistory(_SERVICE))

    def choose_in_shortage() -> None:
        history = RouteAttemptHistory(_SERVICE)
        while choice := chooser.choose(request, history):
            if choice.may_queue or not router.is_local(choice.candidate):
                return
            exc = RefusedError(
                "instance_full",
                "-",
                step="admit",
                may_retry=True,
                report=_FULL_REPORT,
                expected_wait=0.4,
            )
            history.record_failure(choice.candidate.node_id, exc, False)
            chooser.observe_refusal(choice, history, exc, 0.001)

    return (
        _measure_us(choose_first),
        _measure_us(choose_in_shortage),
        _measure_us(lambda: router.choose(_SERVICE, ())),
    )


def _measure_us(function: Callable[[], object]) -> float:
    durations = []
    for _ in range(_ROUNDS):
        started = time.perf_counter()
        for _ in range(_REQUESTS):
            function()
        durations.append(time.perf_counter() - started)
    return min(durations) / _REQUESTS * 1e6


def main() -> None:
    """Prints the durations for several numbers of members."""
    print("members  first choice  choices in shortage  router alone (us)")
    for members in _SIZES:
        first, shortage, alone = trio.run(measure, members)
        print(f"{members:7}{first:14.1f}{shortage:21.1f}{alone:14.1f}")


if __name__ == "__main__":
    main()
