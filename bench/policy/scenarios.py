"""The scenarios in which policies are compared."""

from bench.policy.deployment import Deployment
from bench.policy.scenario import Scenario

_SWING_PERIOD_SECONDS = 0.2
_SWING_EDGE_SECONDS = 0.005
_LOW_LOAD = 0.1
_OUTAGE_SECONDS = 600.0


def _swing(time: float) -> float:
    """Changes the load by a factor of 10 within 5 ms, every 100 ms."""
    phase = time % _SWING_PERIOD_SECONDS
    half = _SWING_PERIOD_SECONDS / 2
    edge = min(1.0, phase % half / _SWING_EDGE_SECONDS)
    return _LOW_LOAD + (1 - _LOW_LOAD) * (edge if phase < half else 1 - edge)


def _send_in_windows(time: float) -> float:
    """Enables load for 0.3 s every 100 s, so that the run stays short."""
    return 1.0 if time % 100.0 < 0.3 else 0.0


def _set_slowdown(index: int, factor: float):
    def apply_change(deployment: Deployment) -> None:
        deployment.get_upstream_hosts()[index].upstream.slowdown_factor = factor

    return apply_change


def _set_failing(index: int, failing: bool):
    def apply_change(deployment: Deployment) -> None:
        deployment.get_upstream_hosts()[index].upstream.failing = failing

    return apply_change


def _restart_upstream(index: int):
    def apply_change(deployment: Deployment) -> None:
        deployment.restart(deployment.get_upstream_hosts()[index])

    return apply_change


def _withdraw_zone(zone_index: int | None):
    def apply_change(deployment: Deployment) -> None:
        zones = deployment.size.zones
        deployment.publish_withdrawal(
            "" if zone_index is None else zones[zone_index]
        )

    return apply_change


def _freeze_membership(deployment: Deployment) -> None:
    deployment.membership_frozen = True


def _lose_host(index: int):
    def apply_change(deployment: Deployment) -> None:
        host = deployment.get_upstream_hosts()[index]
        host.reachable = False

    return apply_change


SCENARIOS = (
    # Guards against routing that adds latency without any fault.
    Scenario("steady 70 %", 0.7),
    # Guards against routing that reacts more slowly than the load changes.
    Scenario("10-fold swing in 5 ms", 0.7, load_factor=_swing, seconds=4.0),
    # Guards against requests to an instance that has become slow.
    Scenario(
        "straggler",
        0.6,
        events=((0.5, _set_slowdown(0, 10.0)), (2.0, _set_slowdown(0, 1.0))),
    ),
    # Guards against preferring an instance that fails fast and so looks idle.
    Scenario(
        "fail-fast",
        0.6,
        events=((0.5, _set_failing(0, True)), (2.0, _set_failing(0, False))),
    ),
    # Guards against overload of an instance that restarts cold.
    Scenario("cold start", 0.6, events=((0.5, _restart_upstream(0)),)),
    # Guards against failed requests while a zone is withdrawn and comes back.
    Scenario(
        "zone out and back",
        0.45,
        events=((0.5, _withdraw_zone(1)), (2.0, _withdraw_zone(None))),
        withdrawal_window=(0.5, 2.0),
    ),
    # Guards against one tenant that uses up the capacity of the others.
    Scenario("noisy tenant", 0.5, noisy_load=(0.5, 2.0, 0.7)),
    # Guards against failures of routing with outdated member information.
    Scenario(
        "log down 10 min",
        0.5,
        load_factor=_send_in_windows,
        events=(
            (0.1, _freeze_membership),
            (50.0, _lose_host(0)),
            (150.0, _restart_upstream(1)),
        ),
        seconds=_OUTAGE_SECONDS,
    ),
    # Guards against mechanisms that interfere when faults overlap.
    Scenario(
        "all overlapping",
        0.2,
        load_factor=_swing,
        events=(
            (0.3, _set_slowdown(0, 10.0)),
            (0.8, _set_failing(3, True)),
            (1.2, _restart_upstream(2)),
            (1.3, _set_slowdown(0, 1.0)),
            (1.5, _withdraw_zone(1)),
            (2.0, _set_failing(3, False)),
            (2.3, _withdraw_zone(None)),
        ),
        noisy_load=(2.4, 2.7, 0.8),
        withdrawal_window=(1.5, 2.3),
        seconds=4.0,
    ),
)
