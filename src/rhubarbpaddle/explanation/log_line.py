"""A line of a node's log."""

import json
import re
from collections.abc import Mapping
from datetime import datetime
from typing import NamedTuple, Self

_FIELD = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_START = re.compile(r"time=\d")


class LogLine(NamedTuple):
    """One event that a node has logged.

    Attributes:
        time: When it was logged, by the clock of its host.
        host: The host, or `-` if the log does not name it.
        part: The part of the program.
        event: The event.
        fields: All other fields.
    """

    time: datetime
    host: str
    part: str
    event: str
    fields: Mapping[str, str]

    @classmethod
    def parse(cls, text: str, source: str = "-") -> Self | None:
        """Parses a line.

        Args:
            text: The line. What precedes the time may end with the host's
                name, as in logs that several nodes share.
            source: The host's name if the line has none.

        Returns:
            None if the text is not a line of a node's log.
        """
        start = _START.search(text)
        if start is None:
            return None
        fields = {
            name: _unquote(value)
            for name, value in _FIELD.findall(text[start.start() :])
        }
        try:
            time = datetime.fromisoformat(fields.pop("time"))
            part, event = fields.pop("part"), fields.pop("event")
        except (KeyError, ValueError):
            return None
        prefix = text[: start.start()].split()
        return cls(time, prefix[-1] if prefix else source, part, event, fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        # A line that was cut off; its text is still of use.
        return value
