import random
from collections import defaultdict
from collections.abc import Mapping

from behave import given, then, when
from behave.runner import Context

from rhubarbpaddle.membership import choose_neighbours
from rhubarbpaddle.peer.rejoin_choice import choose_rejoin_addresses

_LOSSES = 20


def _list_links(zones: Mapping[str, str]) -> set[frozenset[str]]:
    return {
        frozenset((node_id, other))
        for node_id in zones
        for other in choose_neighbours(node_id, zones)
    }


def _is_connected(nodes: set[str], links: set[frozenset[str]]) -> bool:
    neighbours: defaultdict[str, set[str]] = defaultdict(set)
    for first, second in map(sorted, links):
        neighbours[first].add(second)
        neighbours[second].add(first)
    reached, new = set(), {min(nodes)}
    while new:
        reached |= new
        new = set().union(*(neighbours[node] for node in new)) - reached
        new &= nodes
    return reached == nodes


def _check_connected(zones: Mapping[str, str]) -> None:
    links = _list_links(zones)
    assert _is_connected(set(zones), links)
    for zone in set(zones.values()):
        assert _is_connected({n for n in zones if zones[n] == zone}, links)


@when("{count:d} nodes in {zones:d} zones choose their neighbours")
def step_choose(context: Context, count: int, zones: int) -> None:
    context.zones = {f"n{i}": f"z{i % zones}" for i in range(count)}


@then("at most {count:d} links join different zones")
def step_check_links(context: Context, count: int) -> None:
    between = [
        link
        for link in _list_links(context.zones)
        if len({context.zones[node] for node in link}) > 1
    ]
    assert len(between) <= count, len(between)


@then("all nodes are connected, and so are those of each zone")
def step_check_connected(context: Context) -> None:
    _check_connected(context.zones)


@then("that holds when any {count:d} of them are lost")
def step_check_losses(context: Context, count: int) -> None:
    rng = random.Random(1)
    for _ in range(_LOSSES):
        kept = rng.sample(sorted(context.zones), len(context.zones) - count)
        _check_connected({node: context.zones[node] for node in kept})


@given("addresses of {count:d} nodes, {near:d} of them in the node's zone")
def step_addresses(context: Context, count: int, near: int) -> None:
    context.addresses = {f"h{i}:1" for i in range(count)}
    context.near = {f"h{i}:1" for i in range(near)}


@when("it chooses {many:d} and {one:d} of them {times:d} times each")
def step_choose_addresses(
    context: Context, many: int, one: int, times: int
) -> None:
    rng = random.Random(1)
    context.several, context.single = (
        [
            choose_rejoin_addresses(context.addresses, context.near, n, rng)
            for _ in range(times)
        ]
        for n in (many, one)
    )


@then("at most {count:d} of {many:d} is in another zone")
def step_check_several(context: Context, count: int, many: int) -> None:
    for chosen in context.several:
        assert len(set(chosen)) == many, chosen
        assert len(set(chosen) - context.near) <= count, chosen


@then("a single one is in another zone at least once")
def step_check_single(context: Context) -> None:
    assert any(set(chosen) - context.near for chosen in context.single)
