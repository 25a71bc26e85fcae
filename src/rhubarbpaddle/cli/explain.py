"""The `explain` command."""

import json
import sys
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from typing import Any

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.explanation.log_line import LogLine
from rhubarbpaddle.explanation.request_timeline import RequestTimeline
from rhubarbpaddle.explanation.text_report import iter_report


def explain_request(
    request_id: str, paths: Sequence[Path], *, as_json: bool
) -> ExitCode:
    """Prints what the logs say about a request.

    Args:
        request_id: The request's id.
        paths: The logs; standard input if there are none. The name of a file
            without its suffix is the host of lines that name none.
        as_json: Whether to print JSON.

    Returns:
        FAILURE if no line has this id, USAGE if a file can't be read.
    """
    try:
        timeline = RequestTimeline.from_lines(request_id, _iter_lines(paths))
    except OSError as exc:
        print(f"rhubarbpaddle: {exc}", file=sys.stderr)
        return ExitCode.USAGE
    if as_json:
        print(json.dumps(_make_document(timeline), indent=2))
    else:
        print("\n".join(iter_report(timeline)))
    return ExitCode.SUCCESS if timeline.lines else ExitCode.FAILURE


def _iter_lines(paths: Sequence[Path]) -> Iterator[LogLine]:
    if not paths:
        yield from _parse(sys.stdin, "-")
    for path in paths:
        with path.open(errors="replace") as file:
            yield from _parse(file, path.stem)


def _parse(texts: Iterable[str], source: str) -> Iterator[LogLine]:
    for text in texts:
        line = LogLine.parse(text, source)
        if line is not None:
            yield line


def _make_document(timeline: RequestTimeline) -> dict[str, Any]:
    return {
        "request_id": timeline.request_id,
        "lines": [
            {
                "time": line.time.isoformat(),
                "host": line.host,
                "part": line.part,
                "event": line.event,
                **line.fields,
            }
            for line in timeline.lines
        ],
        "calls": [_make_document(call) for call in timeline.calls],
        "missing": list(timeline.missing),
    }
