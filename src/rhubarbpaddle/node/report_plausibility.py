"""The check of an instance's reports against what is known of it."""

from rhubarbpaddle.node.instance_report import InstanceReport

# The time of day may differ between a node and its instance by seconds, and
# may jump.
_MAX_CLOCK_DIFFERENCE_MS = 60_000
# Reports come at intervals of a second or more. Many may be lost, for example
# while a node is paused.
_MS_PER_REPORT = 100
_MAX_LOST_REPORTS = 1_000


def find_report_problem(
    report: InstanceReport,
    service: str,
    newest: tuple[int, int],
    elapsed_ms: int,
    now_ms: int,
) -> str | None:
    """Returns why a report can't be true, or None.

    A start in the future, or a sequence number that is far too high, would
    make all true reports outdated. So would one of an instance that does not
    run on this host.

    Args:
        report: The report; its incarnation is a start time in milliseconds
            since the epoch.
        service: The service of the instance on this host.
        newest: Incarnation and sequence number of the newest report so far.
        elapsed_ms: Milliseconds since the newest report arrived, or since the
            node started.
        now_ms: The time of day, in milliseconds since the epoch.
    """
    if report.service != service:
        return "the service is not that of the instance on this host"
    # Integers of any size, since the report may hold any.
    uptime_ms = now_ms - report.incarnation + _MAX_CLOCK_DIFFERENCE_MS
    problem = find_start_problem(report.incarnation, now_ms)
    if problem is not None:
        return problem
    incarnation, sequence = newest
    if incarnation != report.incarnation:
        sequence = 0
        elapsed_ms = uptime_ms
    allowed = _MAX_LOST_REPORTS + elapsed_ms // _MS_PER_REPORT
    if report.sequence > sequence + allowed:
        return "the sequence number is far too high"
    return None


def find_start_problem(incarnation: int, now_ms: int) -> str | None:
    """Returns why an instance can't have started at a time, or None.

    Args:
        incarnation: The start, in milliseconds since the epoch.
        now_ms: The time of day, in milliseconds since the epoch.
    """
    if incarnation < 0:
        return "the start is negative"
    if incarnation > now_ms + _MAX_CLOCK_DIFFERENCE_MS:
        return "the start is in the future"
    return None
