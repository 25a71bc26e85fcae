"""The scenes of the task."""

from bench.policy.deployment import Deployment
from bench.policy.scenario import Scene

_SWING_PERIOD = 0.2
_SWING_EDGE = 0.005
_LOW = 0.1
_OUTAGE_SECONDS = 600.0


def _swing(time: float) -> float:
    """Swings by the factor 10, within 5 ms, each 100 ms."""
    phase = time % _SWING_PERIOD
    half = _SWING_PERIOD / 2
    edge = min(1.0, phase % half / _SWING_EDGE)
    return _LOW + (1 - _LOW) * (edge if phase < half else 1 - edge)


def _in_windows(time: float) -> float:
    """Sends 0.3 s of traffic each 100 s, so that the run stays short."""
    return 1.0 if time % 100.0 < 0.3 else 0.0


def _slow(index: int, factor: float):
    def change(deployment: Deployment) -> None:
        deployment.get_instances()[index].upstream.slowness = factor

    return change


def _fail(index: int, failing: bool):
    def change(deployment: Deployment) -> None:
        deployment.get_instances()[index].upstream.failing = failing

    return change


def _restart(index: int):
    def change(deployment: Deployment) -> None:
        deployment.restart(deployment.get_instances()[index])

    return change


def _publish(zone_index: int | None):
    def change(deployment: Deployment) -> None:
        zones = deployment.size.zones
        deployment.publish_out("" if zone_index is None else zones[zone_index])

    return change


def _freeze(deployment: Deployment) -> None:
    deployment.frozen = True


def _lose(index: int):
    def change(deployment: Deployment) -> None:
        host = deployment.get_instances()[index]
        host.reachable = False

    return change


SCENES = (
    Scene("steady 70 %", 0.7),
    Scene("10-fold swing in 5 ms", 0.7, rate=_swing, seconds=4.0),
    Scene(
        "straggler", 0.6, events=((0.5, _slow(0, 10.0)), (2.0, _slow(0, 1.0)))
    ),
    Scene(
        "fail-fast", 0.6, events=((0.5, _fail(0, True)), (2.0, _fail(0, False)))
    ),
    Scene("cold start", 0.6, events=((0.5, _restart(0)),)),
    Scene(
        "zone out and back",
        0.45,
        events=((0.5, _publish(1)), (2.0, _publish(None))),
        window=(0.5, 2.0),
    ),
    Scene("noisy tenant", 0.5, noisy=(0.5, 2.0, 0.7)),
    Scene(
        "log down 10 min",
        0.5,
        rate=_in_windows,
        events=((0.1, _freeze), (50.0, _lose(0)), (150.0, _restart(1))),
        seconds=_OUTAGE_SECONDS,
    ),
    Scene(
        "all overlapping",
        0.2,
        rate=_swing,
        events=(
            (0.3, _slow(0, 10.0)),
            (0.8, _fail(3, True)),
            (1.2, _restart(2)),
            (1.3, _slow(0, 1.0)),
            (1.5, _publish(1)),
            (2.0, _fail(3, False)),
            (2.3, _publish(None)),
        ),
        noisy=(2.4, 2.7, 0.8),
        window=(1.5, 2.3),
        seconds=4.0,
    ),
)
