"""Renders a timeline as text for operators."""

from collections.abc import Iterator

from rhubarbpaddle.explanation.log_line import LogLine
from rhubarbpaddle.explanation.request_timeline import RequestTimeline

_ATTEMPT_FIELDS = ("instance", "route", "attempts", "refused", "queued")
_OUTCOMES = {
    "not-run": "the request has not run there",
    "unknown": "the request may have run there",
}


def iter_report(timeline: RequestTimeline) -> Iterator[str]:
    """Yields the lines of a report."""
    if not timeline.lines:
        yield f"request {timeline.request_id}: {timeline.missing[0]}"
        return
    yield f"request {timeline.request_id}: {_describe_end(timeline.end)}"
    yield from _iter_lines(timeline, "  ")
    for call in timeline.calls:
        yield f"  call {call.request_id}: {_describe_end(call.end)}"
        yield from _iter_lines(call, "    ")
    for sentence in timeline.missing:
        yield f"  missing: {sentence}"


def _iter_lines(timeline: RequestTimeline, indent: str) -> Iterator[str]:
    first = timeline.lines[0].time
    for line in timeline.lines:
        elapsed = (line.time - first).total_seconds() * 1000
        yield (
            f"{indent}{line.time:%H:%M:%S.%f} +{elapsed:.0f} ms"
            f" {line.host} {line.part}: {_describe(line)}"
        )


def _describe_end(end: LogLine | None) -> str:
    if end is None:
        return "its end is not in the logs"
    fields = end.fields
    if end.event == "caller_left":
        return f"its caller left ({fields.get('stage', '-')})"
    status = f"status {fields.get('status', '-')}"
    if end.event == "request_answered":
        return f"{status} after {fields.get('ms', '-')} ms"
    return f"{status}, refused as {fields.get('code', '-')}"


def _describe(line: LogLine) -> str:
    fields = line.fields
    instance = fields.get("instance", "-")
    match line.event:
        case "try_failed":
            outcome = fields.get("outcome", "")
            return (
                f"attempt at {instance} failed with {fields.get('code')}:"
                f" {fields.get('detail', '-')};"
                f" {_OUTCOMES.get(outcome, outcome)},"
                f" {fields.get('left_ms', '-')} ms left"
            )
        case "try_answered":
            values = ", ".join(
                f"{name} {fields[name]}"
                for name in _ATTEMPT_FIELDS
                if name in fields
            )
            return f"answered with {fields.get('status')} ({values})"
        case "instance_failed":
            return (
                f"the instance failed with {fields.get('code')}:"
                f" {fields.get('detail', '-')}"
            )
        case "request_answered" | "request_refused" | "caller_left":
            detail = fields.get("detail")
            end = _describe_end(line)
            return f"{end}: {detail}" if detail else end
    values = " ".join(
        f"{name}={value}"
        for name, value in fields.items()
        if name not in ("level", "request_id")
    )
    return f"{line.event} {values}"
