"""Compares the responses of the target version with those of the old one.

Addresses versions whose responses are failures or slow at once or later, only
under load, or on one route only, during faults that affect both versions.
"""

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from rhubarbpaddle.rollout.failure_excess import has_failure_excess
from rhubarbpaddle.rollout.latency_buckets import BUCKETS_PER_OCTAVE
from rhubarbpaddle.rollout.odds_test import OddsTest, Stratum
from rhubarbpaddle.rollout.route_counts import RouteCounts
from rhubarbpaddle.rollout.verdict import Verdict
from rhubarbpaddle.rollout.version_counts import VersionCounts

# Upper limit of the probability that a good version is ever reported as bad.
FALSE_ALARM_PROBABILITY = 0.01
# Ordinary instances fail 0.1 to 0.4 % of their requests. A version that differs
# by less from the mean of the others is good.
_TOLERATED_FAILURE_ODDS = 3.0
# Allows for instances that have less memory or a neighbour with more load.
_TOLERATED_SLOW_ODDS = 3.0
# A response is slow above this quantile of the old version's, and one bucket
# more, because the quantile is an estimate.
_SLOW_QUANTILE = 0.9
_SLOW_MARGIN_BUCKETS = 1
# During the promotion all requests run on the target's instances. Work in the
# last slots of an instance takes 1.6 times as long (docs/platform.md).
_LOADED_MARGIN_BUCKETS = BUCKETS_PER_OCTAVE
# Fewer responses of the old version give no useful quantile.
_MIN_OLD_LATENCIES = 20
_CERTAINTY = math.log(10)
# Evidence after which a version is not promoted until later responses have
# weakened it. A single failure gives less, two of two give more. With many
# responses, a version that fails a twentieth of its requests gives more than
# the higher value, which a good version that is promoted exceeds in one of 50
# cases at most.
_SUSPICIOUS_LOG_EVIDENCE = math.log(5)
_SUSPICIOUS_LOG_EVIDENCE_OF_MANY = math.log(50)
_MANY_RESPONSES = 250
# A version may turn bad late; older responses would hide this. Each window
# covers between one and two of these intervals.
_WINDOW_SECONDS = 5.0
# The reports of different nodes arrive up to a second apart: a fault that
# affects both versions may first appear in those of the target version.
_CONFIRMATION_SECONDS = 1.0


class _Window(NamedTuple):
    """The counts at the beginning of a window."""

    started_at: float
    target: VersionCounts
    old: VersionCounts


class _Result(NamedTuple):
    """The result of one test.

    Attributes:
        log_evidence: The logarithm of the evidence.
        excess: How much it exceeds what is required.
        reason: The kind of responses that the test counts.
    """

    log_evidence: float
    excess: float
    reason: str


_NO_COUNTS = VersionCounts({})


class VersionComparison:
    """Tests the failures and the slow responses of each route.

    Tests cover the time since the start and since the beginning of recent
    windows. Each of the two groups has half of the stated probability of a
    false alarm, which its tests share equally.
    """

    def __init__(
        self, false_alarm_probability: float = FALSE_ALARM_PROBABILITY
    ) -> None:
        """Creates a comparison that has seen no responses."""
        self._probability = false_alarm_probability
        self._failure_test = OddsTest(_TOLERATED_FAILURE_ODDS)
        self._slow_test = OddsTest(_TOLERATED_SLOW_ODDS)
        self._windows: list[_Window] = []
        self._window_count = 0
        self._promotion: _Window | None = None
        self._bad_since: float | None = None

    def start_promotion(self, target: VersionCounts, now: float) -> None:
        """Compares only later responses of the target from now on.

        The old version gets no requests during the promotion; its responses
        during the trial represent it.
        """
        self._promotion = _Window(now, target, _NO_COUNTS)
        self._bad_since = None

    def evaluate(
        self, target: VersionCounts, old: VersionCounts, now: float
    ) -> Verdict:
        """Returns what the counts of both versions up to now say.

        Args:
            target: The counts of the target version.
            old: The counts of the old version.
            now: Monotonic seconds.
        """
        self._update_windows(target, old, now)
        windows = [self._promotion] if self._promotion else self._windows
        results = [
            _Result(
                log_evidence,
                log_evidence - self._get_threshold(target, is_recent=index > 0),
                reason,
            )
            for index, window in enumerate(windows)
            for log_evidence, reason in self._test(
                target.subtract(window.target), old.subtract(window.old)
            )
        ]
        strongest = max(results)
        excess = max(result.excess for result in results)
        is_bad = self._is_confirmed(excess >= 0, now)
        return Verdict(
            is_bad,
            is_bad and excess >= _CERTAINTY,
            self._is_suspicious(target, old, strongest.log_evidence),
            strongest.log_evidence,
            strongest.reason,
            target.count_responses(),
            target.count_failures(),
            target.count_latencies(),
        )

    def _is_suspicious(
        self, target: VersionCounts, old: VersionCounts, log_evidence: float
    ) -> bool:
        if (
            self._promotion is not None
            or target.count_responses() >= _MANY_RESPONSES
        ):
            return log_evidence >= _SUSPICIOUS_LOG_EVIDENCE_OF_MANY
        return log_evidence >= _SUSPICIOUS_LOG_EVIDENCE or has_failure_excess(
            target, old
        )

    def _get_threshold(self, target: VersionCounts, is_recent: bool) -> float:
        """Returns the logarithm of the evidence that a test requires."""
        tests = 2 * (len(target.get_routes()) + 1)
        if is_recent:
            tests *= self._window_count
        return math.log(2 * tests / self._probability)

    def _update_windows(
        self, target: VersionCounts, old: VersionCounts, now: float
    ) -> None:
        if not self._windows:
            self._windows = [_Window(now, _NO_COUNTS, _NO_COUNTS)]
            self._window_count = 1
        elif now - self._windows[-1].started_at >= _WINDOW_SECONDS:
            self._windows.append(_Window(now, target, old))
            self._window_count += 1
            # The first window covers the whole trial.
            self._windows = [self._windows[0], *self._windows[1:][-2:]]

    def _is_confirmed(self, is_bad: bool, now: float) -> bool:
        if not is_bad:
            self._bad_since = None
            return False
        if self._bad_since is None:
            self._bad_since = now
        # During the promotion there are no reports of the old version to wait
        # for, and all requests go to the target version.
        return (
            self._promotion is not None
            or now - self._bad_since >= _CONFIRMATION_SECONDS
        )

    def _test(
        self, target: VersionCounts, old: VersionCounts
    ) -> Iterator[tuple[float, str]]:
        margin = _SLOW_MARGIN_BUCKETS
        if self._promotion is not None:
            margin += _LOADED_MARGIN_BUCKETS
        all_failures: list[Stratum] = []
        all_slow: list[Stratum] = []
        for route in target.get_routes():
            pairs = list(_pair_zones(target, old, route))
            failures = [
                Stratum(
                    first.failures,
                    first.responses,
                    second.failures,
                    second.responses,
                )
                for first, second in pairs
            ]
            slow = [
                _count_slow(first, second, margin) for first, second in pairs
            ]
            all_failures += failures
            all_slow += slow
            yield (
                self._failure_test.get_log_evidence(failures),
                f"failed:{route}",
            )
            yield self._slow_test.get_log_evidence(slow), f"slow:{route}"
        yield self._failure_test.get_log_evidence(all_failures), "failed"
        yield self._slow_test.get_log_evidence(all_slow), "slow"


def _pair_zones(
    target: VersionCounts, old: VersionCounts, route: str
) -> Iterable[tuple[RouteCounts, RouteCounts]]:
    """Pairs the counts of each zone, or of all zones if one has no pair.

    A slow zone then affects both versions of a pair alike.
    """
    zones = target.get_zones(route)
    if not set(zones) <= set(old.get_zones(route)):
        return [(target.get_total(route), old.get_total(route))]
    return [
        (target.get_total(route, zone), old.get_total(route, zone))
        for zone in zones
    ]


def _count_slow(target: RouteCounts, old: RouteCounts, margin: int) -> Stratum:
    """Counts the responses above a quantile of the old version's."""
    target_total = sum(count for _, count in target.latencies)
    old_total = sum(count for _, count in old.latencies)
    if old_total < _MIN_OLD_LATENCIES:
        return Stratum(0, 0, 0, 0)
    limit = _find_quantile(old, old_total) + margin
    return Stratum(
        _count_above(target, limit),
        target_total,
        _count_above(old, limit),
        old_total,
    )


def _find_quantile(counts: RouteCounts, total: int) -> int:
    reached = 0
    for bucket, count in counts.latencies:
        reached += count
        if reached >= _SLOW_QUANTILE * total:
            return bucket
    raise AssertionError("the counts are smaller than their total")


def _count_above(counts: RouteCounts, limit: int) -> int:
    return sum(count for bucket, count in counts.latencies if bucket > limit)
