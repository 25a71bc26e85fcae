"""The check of an instance's reports against what is known of it."""

from datetime import timedelta

from rhubarbpaddle.node.instance_report import InstanceReport

# The time of day may differ between a node and its instance by seconds, and
# may jump.
_MAX_CLOCK_DIFFERENCE = timedelta(minutes=1)
# Reports come at intervals of a second or more. Many may be lost, for example
# while a node is paused.
_MAX_REPORTS_PER_SECOND = 10
_MAX_LOST_REPORTS = 1_000


def find_report_problem(
    report: InstanceReport, newest: tuple[int, int], elapsed: float, now_ms: int
) -> str | None:
    """Returns why a report can't be true, or None.

    A start in the future, or a sequence number that is far too high, would
    make all true reports outdated.

    Args:
        report: The report; its incarnation is a start time in milliseconds
            since the epoch.
        newest: Incarnation and sequence number of the newest report so far.
        elapsed: Seconds since the newest report arrived.
        now_ms: The time of day, in milliseconds since the epoch.
    """
    uptime = timedelta(milliseconds=now_ms - report.incarnation)
    if uptime < -_MAX_CLOCK_DIFFERENCE:
        return "the start is in the future"
    incarnation, sequence = newest
    if incarnation != report.incarnation:
        sequence = 0
        elapsed = (uptime + _MAX_CLOCK_DIFFERENCE).total_seconds()
    allowed = _MAX_LOST_REPORTS + int(elapsed * _MAX_REPORTS_PER_SECOND)
    if report.sequence > sequence + allowed:
        return "the sequence number is far too high"
    return None
