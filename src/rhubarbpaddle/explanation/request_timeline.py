"""The log lines of one request in order."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple, Self

from rhubarbpaddle.explanation.log_line import LogLine

_END_EVENTS = frozenset({"request_answered", "request_refused", "caller_left"})


class RequestTimeline(NamedTuple):
    """What the logs say about a request and the calls that it made.

    Attributes:
        request_id: The request's id.
        lines: Its own lines, in the order of time.
        calls: The timelines of the calls that its instances made.
        missing: What the logs lack, one sentence each.
    """

    request_id: str
    lines: tuple[LogLine, ...]
    calls: tuple["RequestTimeline", ...]
    missing: tuple[str, ...]

    @classmethod
    def from_lines(cls, request_id: str, lines: Iterable[LogLine]) -> Self:
        """Collects the lines of a request.

        Args:
            request_id: The request's id; the ids of its calls start with it
                and a dot.
            lines: The lines of all nodes, in any order.
        """
        by_id: dict[str, list[LogLine]] = {request_id: []}
        dropping_hosts: set[str] = set()
        for line in lines:
            line_id = line.fields.get("request_id", "")
            if line_id == request_id or line_id.startswith(f"{request_id}."):
                by_id.setdefault(line_id, []).append(line)
            if "dropped" in line.fields:
                dropping_hosts.add(line.host)
        own = tuple(sorted(by_id.pop(request_id), key=lambda line: line.time))
        calls = tuple(
            cls(call_id, ordered, (), _find_missing(ordered, dropping_hosts))
            for call_id, call_lines in by_id.items()
            if (ordered := tuple(sorted(call_lines, key=lambda c: c.time)))
        )
        return cls(
            request_id,
            own,
            tuple(sorted(calls, key=lambda call: call.lines[0].time)),
            _find_missing(own, dropping_hosts),
        )

    @property
    def end(self) -> LogLine | None:
        """The line with the end of the request, if there is one."""
        ends = [line for line in self.lines if line.event in _END_EVENTS]
        return ends[-1] if ends else None

    @property
    def duration(self) -> timedelta:
        """The time from the first line to the last one."""
        return self.lines[-1].time - self.lines[0].time


def _find_missing(
    lines: tuple[LogLine, ...], dropping_hosts: set[str]
) -> tuple[str, ...]:
    if not lines:
        return ("no line has this request id",)
    missing = []
    events = {line.event for line in lines}
    if not events & _END_EVENTS:
        missing.append(
            "no line says how the request ended: the log of the node that took"
            " it is missing, or the request still runs"
        )
    elif not events & {"try_answered", "try_failed"}:
        missing.append("no line says which instances were tried")
    hosts = sorted({line.host for line in lines} & dropping_hosts)
    if hosts:
        missing.append(
            f"lines were dropped at {', '.join(hosts)}; look at other requests"
            " of that second"
        )
    return tuple(missing)
