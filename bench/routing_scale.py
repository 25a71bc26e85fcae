"""Measures how routing time and memory grow with the number of members.

Measures `Router.choose` and the application of 1,000 member changes with 12,
50, 200 and 800 members in 23 services, and prints the increase per member.
"""

import random
import time
import tracemalloc
from typing import NamedTuple

import trio

from bench.policy.least_loaded_router import LeastLoadedRouter
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.availability_zone import AvailabilityZone
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.configuration.service import Service
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.routing.adaptive_router import AdaptiveRouter
from rhubarbpaddle.routing.router import Router

_SIZES = (12, 50, 200, 800)
_SERVICES = tuple(f"s{index}" for index in range(23))
_ZONES = ("a", "b", "c", "d")
_REQUESTS = 5_000
_CHANGES = 1_000
_ROUNDS = 5
_REPORT = LoadReport(3, 0, 6, UpstreamState.WARM)


class RoutingCost(NamedTuple):
    """Time and memory for one size; times are the shortest of several rounds.

    Attributes:
        members: The number of members in the table.
        choose_us: Microseconds for one `choose`.
        request_us: Microseconds for `choose`, `record_start` and `record_end`.
        change_us: Microseconds for a member change and the `choose` after it.
        memory_kb: Memory of the router in KB, without the member table.
    """

    members: int
    choose_us: float
    request_us: float
    change_us: float
    memory_kb: float


def make_member(index: int, version: int = 1) -> Member:
    """Returns a member; its upstream is warm at odd versions, else leaving."""
    state = UpstreamState.WARM if version % 2 else UpstreamState.LEAVING
    service = _SERVICES[index % len(_SERVICES)]
    name = f"n{index}"
    upstream = UpstreamSummary(service, name, 1, state, 6)
    return Member(
        name,
        1,
        version,
        MemberStatus.ALIVE,
        name,
        _ZONES[index % len(_ZONES)],
        f"{name}:2",
        f"{name}:3",
        upstream,
    )


def make_table(members: int) -> MemberTable:
    """Returns a table with the given number of members."""
    table = MemberTable(make_member(0))
    for index in range(1, members):
        table.merge(make_member(index))
    return table


def make_router(name: str, table: MemberTable) -> Router:
    """Returns the router with the given name."""
    rng = random.Random(1)
    if name == "adaptive":
        return AdaptiveRouter(table, rng, VirtualClock())
    return LeastLoadedRouter(table, rng)


async def measure(name: str, members: int) -> RoutingCost:
    """Measures a router with the given number of members."""
    zones = {zone: AvailabilityZone(zone, "r", True) for zone in _ZONES}
    services = {service: Service(service) for service in _SERVICES}
    cfg = Configuration(services, zones, {})
    table = make_table(members)
    tracemalloc.start()
    router = make_router(name, table)
    available = [s for s in _SERVICES if router.choose(cfg, s, ()) is not None]
    memory_kb = tracemalloc.get_traced_memory()[0] / 1000
    tracemalloc.stop()

    def choose() -> None:
        for index in range(_REQUESTS):
            router.choose(cfg, available[index % len(available)], ())

    def request() -> None:
        for index in range(_REQUESTS):
            candidate = router.choose(
                cfg, available[index % len(available)], ()
            )
            assert candidate is not None
            router.record_start(candidate)
            router.record_end(candidate, 0.005, True, _REPORT)

    version = 1

    def change() -> None:
        nonlocal version
        version += 1
        for step in range(_CHANGES):
            index = 1 + step % (members - 1)
            if index == 1:
                version += 1
            table.merge(make_member(index, version))
            router.choose(cfg, _SERVICES[index % len(_SERVICES)], ())

    def measure_us(function, count: int) -> float:
        durations = []
        for _ in range(_ROUNDS):
            started = time.perf_counter()
            function()
            durations.append(time.perf_counter() - started)
        return min(durations) / count * 1e6

    return RoutingCost(
        members,
        measure_us(choose, _REQUESTS),
        measure_us(request, _REQUESTS),
        measure_us(change, _CHANGES),
        memory_kb,
    )


def get_slope(rows: list[RoutingCost], field: str) -> float:
    """Returns the least-squares slope of a field over the number of members."""
    mean_x = sum(row.members for row in rows) / len(rows)
    values = [getattr(row, field) for row in rows]
    mean_y = sum(values) / len(values)
    covariance = sum(
        (row.members - mean_x) * (value - mean_y)
        for row, value in zip(rows, values, strict=True)
    )
    return covariance / sum((row.members - mean_x) ** 2 for row in rows)


def main() -> None:
    """Prints the costs of both routers."""
    fields = ("choose_us", "request_us", "change_us", "memory_kb")
    for name in ("adaptive", "least loaded"):
        rows = [trio.run(measure, name, members) for members in _SIZES]
        print(f"{name:13}" + "".join(f"{field:>13}" for field in fields))
        for row in rows:
            values = "".join(f"{getattr(row, f):13.2f}" for f in fields)
            print(f"{row.members:13}{values}")
        slopes = "".join(f"{get_slope(rows, f):13.4f}" for f in fields)
        print(f"{'per member':13}{slopes}\n")


if __name__ == "__main__":
    main()
