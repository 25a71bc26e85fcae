"""Whether a version fails clearly more often, by the few responses of a trial.

Addresses a version that fails a third of its requests while the old one fails
some too: on each route and in each zone there are then too few responses for
the test of the odds.
"""

from rhubarbpaddle.rollout.version_counts import VersionCounts

# Fewer failures may be a coincidence.
_MIN_FAILURES = 3
# The odds test finds versions that fail a smaller part of their requests.
_MIN_FAILED_FRACTION = 0.1
# The failure rate of the old version in the same zones that is tolerated, as a
# multiple, and what is added to its counts, which may be small.
_TOLERATED_RATIO = 3.0
_PRIOR_FAILURES = 0.5


def has_failure_excess(target: VersionCounts, old: VersionCounts) -> bool:
    """Returns whether the target should not be promoted yet.

    Args:
        target: The counts of the target version.
        old: The counts of the old version at the same time.
    """
    failures = target.count_failures()
    if failures < max(
        _MIN_FAILURES, _MIN_FAILED_FRACTION * target.count_responses()
    ):
        return False
    old_by_zone = old.count_by_zone()
    old_total = old.count_responses(), old.count_failures()
    expected = 0.0
    for zone, (responses, _) in target.count_by_zone().items():
        old_responses, old_failures = old_by_zone.get(zone, old_total)
        rate = (old_failures + _PRIOR_FAILURES) / (old_responses + 1)
        expected += responses * rate
    return failures > _TOLERATED_RATIO * expected
