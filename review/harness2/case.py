"""Runs a case and turns its result into an exit code."""

import asyncio
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from harness2.record import Record

_MAX_SECONDS = 110.0


def run_case(
    folder: Path,
    case: Callable[[Record, bool], Awaitable[bool]],
    has_trouble: bool,
) -> None:
    """Runs a case and exits.

    The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
    could not run.

    Args:
        folder: The folder of the case, which gets its record.
        case: Returns whether the rule was broken; its arguments are the record
            and whether the disruption takes place.
        has_trouble: Whether the disruption takes place.
    """
    record = Record(folder / "record.txt")
    record.write("start", trouble=has_trouble)
    code = 2
    try:
        broken = asyncio.run(_run(case, record, has_trouble))
        code = 1 if broken else 0
    except Exception:
        traceback.print_exc()
    record.write("exit", code=code)
    record.close()
    sys.exit(code)


async def _run(
    case: Callable[[Record, bool], Awaitable[bool]],
    record: Record,
    has_trouble: bool,
) -> bool:
    async with asyncio.timeout(_MAX_SECONDS):
        return await case(record, has_trouble)
