"""Measures the comparison of versions: `python -m bench.rollout_detector`.

Simulates the counts of a service whose gateways send 8 % of its requests to
the target version, and prints how often a good version is stopped, and after
how many responses of its own a bad one is. Ordinary instances fail 0.1 to 0.4 %
of their requests; latencies are log-normal (sigma 0.5).
"""

import math
import random
import sys
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from rhubarbpaddle.rollout.latency_buckets import get_bucket
from rhubarbpaddle.rollout.route_counts import RouteCounts
from rhubarbpaddle.rollout.version_comparison import VersionComparison
from rhubarbpaddle.rollout.version_counts import VersionCounts

_SHARE = 0.08
_ROUTES = ("search", "book")
_ZONES = ("a", "b")
_STEP_SECONDS = 0.25
_MEDIAN_SECONDS = 0.05
_SIGMA = 0.5
_GOOD_RUNS = 200
_BAD_RUNS = 50


class Behaviour(NamedTuple):
    """How a version responds at one time.

    Attributes:
        failure_rate: The fraction of failed responses.
        factor: The latency as a multiple of the usual one.
    """

    failure_rate: float
    factor: float = 1.0


GetBehaviour = Callable[[float, str, str], Behaviour]


class Case(NamedTuple):
    """A scenario of the table.

    Attributes:
        name: What happens.
        target: The behaviour of the target version by time, route and zone.
        old: The behaviour of the old version.
    """

    name: str
    target: GetBehaviour
    old: GetBehaviour


class Run(NamedTuple):
    """The result of one simulated trial.

    Attributes:
        stopped: Whether the target version was stopped.
        suspicious: Whether it was suspicious at the end.
        responses: Responses of the target until then.
        bad_responses: Failed responses, and those of a slow target.
        seconds: The time until then.
    """

    stopped: bool
    suspicious: bool
    responses: int
    bad_responses: int
    seconds: float


class _Counts:
    """Accumulates the responses of one version."""

    def __init__(self) -> None:
        self.responses: Counter[tuple[str, str]] = Counter()
        self.failures: Counter[tuple[str, str]] = Counter()
        self.latencies: dict[tuple[str, str], Counter[int]] = {}

    def add(
        self, zone: str, route: str, behaviour: Behaviour, rng: random.Random
    ) -> bool:
        """Adds a response and returns whether it failed."""
        key = zone, route
        failed = rng.random() < behaviour.failure_rate
        self.responses[key] += 1
        self.failures[key] += failed
        if not failed:
            usual = rng.lognormvariate(math.log(_MEDIAN_SECONDS), _SIGMA)
            bucket = get_bucket(usual * behaviour.factor)
            self.latencies.setdefault(key, Counter())[bucket] += 1
        return failed

    def get(self) -> VersionCounts:
        return VersionCounts(
            {
                key: RouteCounts(
                    key[1],
                    count,
                    self.failures[key],
                    tuple(sorted(self.latencies.get(key, {}).items())),
                )
                for key, count in self.responses.items()
            }
        )


def simulate(case: Case, rate: float, seconds: float, seed: int) -> Run:
    """Simulates a trial of a service with some requests a second."""
    rng = random.Random(f"{case.name} {rate} {seconds} {seed}")
    target, old = _Counts(), _Counts()
    comparison = VersionComparison()
    bad = 0
    pending = 0.0
    verdict = comparison.evaluate(target.get(), old.get(), 0.0)
    for step in range(1, round(seconds / _STEP_SECONDS) + 1):
        now = step * _STEP_SECONDS
        pending += rate * _STEP_SECONDS
        while pending >= 1:
            pending -= 1
            zone, route = rng.choice(_ZONES), rng.choice(_ROUTES)
            if rng.random() < _SHARE:
                behaviour = case.target(now, route, zone)
                failed = target.add(zone, route, behaviour, rng)
                bad += (
                    failed
                    or behaviour.factor > case.old(now, route, zone).factor
                )
            else:
                old.add(zone, route, case.old(now, route, zone), rng)
        verdict = comparison.evaluate(target.get(), old.get(), now)
        if verdict.is_bad:
            return Run(True, True, verdict.responses, bad, now)
    return Run(False, verdict.is_suspicious, verdict.responses, bad, seconds)


def _constant(failure_rate: float, factor: float = 1.0) -> GetBehaviour:
    return lambda now, route, zone: Behaviour(failure_rate, factor)


_ORDINARY = _constant(0.0025)


def _burst(now: float, route: str, zone: str) -> Behaviour:
    return Behaviour(0.5 if 2.0 <= now < 3.0 else 0.0025)


def _outage(now: float, route: str, zone: str) -> Behaviour:
    return Behaviour(1.0 if 2.0 <= now < 4.0 else 0.0025, 1.0)


def _slow_zone(now: float, route: str, zone: str) -> Behaviour:
    return Behaviour(0.0025, 5.0 if zone == "b" and now >= 2.0 else 1.0)


def _late(now: float, route: str, zone: str) -> Behaviour:
    return Behaviour(0.2 if now >= 4.0 else 0.0025)


def _one_route(now: float, route: str, zone: str) -> Behaviour:
    return Behaviour(0.5 if route == "book" else 0.0025)


_GOOD = (
    Case("good", _ORDINARY, _ORDINARY),
    Case("good, 0.4 % against 0.1 %", _constant(0.004), _constant(0.001)),
    Case("good, half fail for 1 s", _burst, _burst),
    Case("good, all fail for 2 s", _outage, _outage),
    Case("good, one zone 5 times slower", _slow_zone, _slow_zone),
    Case("good, 1.3 times slower", _constant(0.0025, 1.3), _ORDINARY),
)
_BAD = (
    Case("fails 5 %", _constant(0.05), _ORDINARY),
    Case("fails 20 %", _constant(0.2), _ORDINARY),
    Case("fails 50 %", _constant(0.5), _ORDINARY),
    Case("3 times slower", _constant(0.0025, 3.0), _ORDINARY),
    Case("fails 20 % after 4 s", _late, _ORDINARY),
    Case("fails 50 % on one of two routes", _one_route, _ORDINARY),
)
# Requests a second, and the trial of an order of 12 s or of two minutes.
_TRIALS = ((40.0, 9.0), (400.0, 9.0), (40.0, 117.0))


def list_cases() -> tuple[Case, ...]:
    """Returns the scenarios of the table."""
    return _GOOD + _BAD


def _get_quantile(values: list[float], quantile: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _print_row(case: Case, rate: float, seconds: float, runs: int) -> None:
    results = [simulate(case, rate, seconds, seed) for seed in range(runs)]
    stopped = [run for run in results if run.stopped]
    suspicious = sum(run.suspicious for run in results if not run.stopped)
    figures = ["-"] * 4
    if stopped:
        responses = [float(run.responses) for run in stopped]
        bad_responses = [float(run.bad_responses) for run in stopped]
        figures = [
            f"{_get_quantile(responses, 0.5):.0f}",
            f"{_get_quantile(responses, 0.95):.0f}",
            f"{_get_quantile(bad_responses, 0.95):.0f}",
            f"{_get_quantile([r.seconds for r in stopped], 0.5):.1f}",
        ]
    print(
        f"| {case.name} | {rate:.0f} | {seconds:.0f} | {runs}"
        f" | {len(stopped)} | {suspicious} | {' | '.join(figures)} |",
        flush=True,
    )


def main(divisor: int) -> None:
    """Prints the table; the divisor reduces the number of runs."""
    print(
        "| target version | requests/s | trial, s | runs | stopped"
        " | only suspicious | responses p50 | p95 | bad responses p95 | s p50 |"
    )
    print("| " + " | ".join(["---"] * 10) + " |")
    for cases, runs in ((_GOOD, _GOOD_RUNS), (_BAD, _BAD_RUNS)):
        for case in cases:
            for rate, seconds in _TRIALS:
                _print_row(case, rate, seconds, max(1, runs // divisor))


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
