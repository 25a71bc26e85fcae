"""Logs each event as one line of key=value pairs."""

import json
import re

import logbook

from rhubarbpaddle.exceptions import RhubarbpaddleError

_UNQUOTED_VALUE = re.compile(r"[^\s=\"]+")


class EventLogger:
    """Logs the events of one part of the program."""

    def __init__(self, name: str) -> None:
        self._logger = logbook.Logger(name)

    def debug(self, event: str, **fields: object) -> None:
        """Logs an event that is useful only for tracing a problem."""
        if self._logger.level <= logbook.DEBUG:
            self._logger.debug(format_event(event, fields))

    def info(self, event: str, **fields: object) -> None:
        """Logs an event of normal operation."""
        self._logger.info(format_event(event, fields))

    def notice(self, event: str, **fields: object) -> None:
        """Logs an event that explains a failed request."""
        self._logger.notice(format_event(event, fields))

    def warn(self, event: str, **fields: object) -> None:
        """Logs an event that may require an operator's attention."""
        self._logger.warn(format_event(event, fields))

    def error(self, event: str, **fields: object) -> None:
        """Logs an event that requires an operator's attention."""
        self._logger.error(format_event(event, fields))


def get_logger(name: str) -> EventLogger:
    """Returns the logger of a part of the program."""
    return EventLogger(name)


def format_event(event: str, fields: dict[str, object]) -> str:
    """Formats an event; errors are logged as code, step, peer and detail."""
    pairs = [("event", event)]
    for name, value in fields.items():
        if isinstance(value, RhubarbpaddleError):
            pairs += [
                ("code", value.code),
                ("step", value.step),
                ("peer", value.peer),
                ("detail", value.detail),
            ]
        else:
            pairs.append((name, str(value)))
    return " ".join(f"{name}={_quote(value)}" for name, value in pairs)


def _quote(value: str) -> str:
    if _UNQUOTED_VALUE.fullmatch(value):
        return value
    return json.dumps(value, ensure_ascii=False)
