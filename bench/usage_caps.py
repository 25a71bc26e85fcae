"""Measures how exactly usage caps are kept, and what that costs.

The gateways and owners of all nodes run in one process and in virtual time,
without a network. Prints for each fleet, demand and fault: the requests that
were admitted and refused; the refusals of organisations that kept their cap
(`needless`); how much of its cap the largest organisation used that sent six
times its usual demand; the most requests of an organisation that ran in a
window, relative to the tolerated number; and the queries sent per request.
"""

import random
import sys
import time
from collections.abc import Iterator
from datetime import timedelta
from itertools import accumulate
from typing import NamedTuple

import msgspec
import trio
from trio.testing import MockClock

from features.support.usage_fleet import UsageFleet
from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.peer.messages import Message, UsageRequest, UsageResponse
from rhubarbpaddle.usage.quota_terms import QuotaTerms
from rhubarbpaddle.usage.usage_query import UsageQuery

_TERMS = QuotaTerms(timedelta(seconds=5), 0.1, 20)
_SECONDS = 20.0
_EXPONENT = 1.2
_CAP_FACTOR = 1.6
# The requests of all organisations, at 76 nodes.
_REQUESTS_PER_SECOND = 500.0
# Organisations that send this many times their usual demand, and when.
_EXCEEDING = (1, 3, 17)
_EXCESS_FACTOR = 6.0
_EXCESS_FROM, _EXCESS_UNTIL = 4.0, 10.0
_FAULT_SECONDS = 8.0
_FAULT_AT = 6.0
_SHUTDOWN_SECONDS = 3.0
_ROUNDS = 20_000


_FAULTS = (
    "killed",
    "rolling",
    "power",
    "frozen",
    "single",
    "third",
)


class Case(NamedTuple):
    """A fleet, its demand and a fault.

    Attributes:
        nodes: The number of nodes.
        organisations: The number of organisations.
        demand: `even`, `skewed` (over the nodes) or `shifting` (each second).
        fault: `none`; `killed`: a twentieth of the nodes, started again after 8
            s; `rolling`: half of the nodes, restarted one after another;
            `power`: all nodes, started again within 1 to 2 s; `frozen`: a
            twentieth of the nodes for 8 s; `single`: as many, each cut off from
            all others; `third`: a third of the nodes, cut off together.
    """

    nodes: int
    organisations: int
    demand: str
    fault: str


_CASES = (
    *(
        Case(nodes, organisations, demand, "none")
        for nodes in (12, 76, 300)
        for organisations in (80, 2_000)
        for demand in ("even", "skewed", "shifting")
    ),
    *(
        Case(nodes, 80, "even", fault)
        for nodes in (12, 76)
        for fault in _FAULTS
    ),
)


def make_organisations(case: Case) -> tuple[list[Organisation], list[float]]:
    """Returns the organisations and their usual requests per second."""
    weights = [rank**-_EXPONENT for rank in range(1, case.organisations + 1)]
    total = _REQUESTS_PER_SECOND * case.nodes / 76
    demands = [total * weight / sum(weights) for weight in weights]
    organisations = [
        Organisation(
            f"organisation-{index}",
            rate=_CAP_FACTOR * demand,
            burst=max(2.0, _CAP_FACTOR * demand),
        )
        for index, demand in enumerate(demands)
    ]
    return organisations, demands


def make_node_weights(case: Case, second: int) -> list[float]:
    """Returns the part of the callers at each node."""
    rng = random.Random(second if case.demand == "shifting" else 0)
    if case.demand == "even":
        return [1.0] * case.nodes
    return [1.0 / rng.randint(1, case.nodes) for _ in range(case.nodes)]


def iter_arrivals(
    case: Case, demands: list[float]
) -> Iterator[tuple[float, str, str]]:
    """Yields the time, gateway and organisation of each request."""
    rng = random.Random(7)
    node_ids = [f"n{index}" for index in range(case.nodes)]
    now = 0.0
    while now < _SECONDS:
        is_excess = _EXCESS_FROM <= now < _EXCESS_UNTIL
        current = [
            demand * _EXCESS_FACTOR
            if is_excess and index in _EXCEEDING
            else demand
            for index, demand in enumerate(demands)
        ]
        cumulative = list(accumulate(current))
        weights = list(accumulate(make_node_weights(case, int(now))))
        end = min(_SECONDS, int(now) + 1.0)
        while now < end:
            now += rng.expovariate(cumulative[-1])
            (node_id,) = rng.choices(node_ids, cum_weights=weights)
            (index,) = rng.choices(range(len(demands)), cum_weights=cumulative)
            yield now, node_id, f"organisation-{index}"


async def run_fault(case: Case, fleet: UsageFleet) -> None:
    """Lets the fault of a case happen."""
    node_ids = list(fleet.nodes)
    few = node_ids[: max(1, case.nodes // 20)]
    async with trio.open_nursery() as nursery:
        match case.fault:
            case "killed":
                for node_id in few:
                    fleet.kill(nursery, node_id)
                await trio.sleep(_FAULT_SECONDS)
                fleet.start(nursery, few)
            case "rolling":
                for node_id in node_ids[: case.nodes // 2]:
                    nursery.start_soon(_restart, fleet, nursery, node_id)
                    await trio.sleep(2 * _FAULT_SECONDS / case.nodes)
            case "power":
                for node_id in node_ids:
                    fleet.kill(nursery, node_id)
                await trio.sleep(1)
                for node_id in node_ids:
                    fleet.start(nursery, [node_id])
                    await trio.sleep(1 / case.nodes)
            case "frozen":
                for node_id in few:
                    fleet.freeze(nursery, node_id)
                await trio.sleep(_FAULT_SECONDS)
                for node_id in few:
                    fleet.resume(nursery, node_id)
            case "single" | "third":
                groups = {node_id: 1 + i for i, node_id in enumerate(few)}
                if case.fault == "third":
                    groups = dict.fromkeys(node_ids[: case.nodes // 3], 1)
                fleet.partition(nursery, groups)
                await trio.sleep(_FAULT_SECONDS)
                fleet.partition(nursery, dict.fromkeys(groups, 0))


async def _restart(
    fleet: UsageFleet, nursery: trio.Nursery, node_id: str
) -> None:
    await fleet.leave(node_id)
    await trio.sleep(_SHUTDOWN_SECONDS)
    fleet.kill(nursery, node_id)
    await trio.sleep(0.3)
    fleet.start(nursery, [node_id])


async def run_case(case: Case) -> str:
    """Runs a case and returns its line."""
    organisations, demands = make_organisations(case)
    fleet = UsageFleet(_TERMS, organisations)
    async with trio.open_nursery() as nursery:
        fleet.start(nursery, (f"n{index}" for index in range(case.nodes)))
        # Callers come 10 s after the start of the fleet.
        await trio.sleep(10)
        started_at = trio.current_time()
        has_fault_begun = False
        for arrival, node_id, name in iter_arrivals(case, demands):
            if arrival >= _FAULT_AT and not has_fault_begun:
                has_fault_begun = True
                nursery.start_soon(run_fault, case, fleet)
            await trio.sleep_until(started_at + arrival)
            nursery.start_soon(fleet.send, node_id, name)
        await trio.sleep(1)
        nursery.cancel_scope.cancel()
    return make_line(case, fleet)


def make_line(case: Case, fleet: UsageFleet) -> str:
    """Returns the figures of a fleet after a case."""
    admitted = sum(map(len, fleet.admitted_at.values()))
    needless = sum(fleet.needless.values())
    sent = sum(node.sent_count for node in fleet.nodes.values())
    worst = max(
        fleet.get_most_in_window(name) / fleet.get_limit(name)
        for name in fleet.admitted_at
    )
    exceeding = [f"organisation-{index}" for index in _EXCEEDING]
    used = max(
        fleet.get_most_in_window(name)
        / (fleet.organisations[name].rate * 5 + fleet.organisations[name].burst)
        for name in exceeding[:1]
    )
    return (
        f"nodes={case.nodes} organisations={case.organisations}"
        f" demand={case.demand} fault={case.fault}"
        f" requests={fleet.requests} admitted={admitted}"
        f" refused={sum(fleet.refused.values())} needless={needless}"
        f" ({needless / fleet.requests:.2%})"
        f" cap_used={used:.3f} worst_window={worst:.3f}"
        f" queries_per_request={sent / fleet.requests:.3f}"
    )


async def measure_query() -> str:
    """Returns the size of a query and its response, and the owner's time."""
    organisation = Organisation("organisation-1", rate=1e9, burst=1e9)
    fleet = UsageFleet(_TERMS, [organisation])
    async with trio.open_nursery() as nursery:
        fleet.start(nursery, ("n0", "n1", "n2"))
        await trio.sleep(1)
        node = next(
            node
            for node in fleet.nodes.values()
            if node.fleet.get_standing(organisation.name).share
        )
        encoder = msgspec.msgpack.Encoder()
        decoder = msgspec.msgpack.Decoder(Message)
        query = encoder.encode(UsageRequest(UsageQuery(organisation.name, 1)))
        started = time.perf_counter()
        for _ in range(_ROUNDS):
            request = decoder.decode(query)
            assert isinstance(request, UsageRequest)
            grant = node.owner.grant(request.query)
            response = encoder.encode(UsageResponse(grant))
        elapsed = time.perf_counter() - started
        nursery.cancel_scope.cancel()
    return (
        f"query_bytes={len(query) + 4} response_bytes={len(response) + 4}"
        f" decide_us={elapsed / _ROUNDS * 1e6:.1f}"
    )


def main(arguments: list[str]) -> None:
    """Prints a line for each case whose fault or demand is an argument."""
    print(
        trio.run(measure_query, clock=MockClock(autojump_threshold=0)),
        flush=True,
    )
    for case in _CASES:
        if not arguments or {case.fault, case.demand} & set(arguments):
            clock = MockClock(autojump_threshold=0)
            print(trio.run(run_case, case, clock=clock), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
