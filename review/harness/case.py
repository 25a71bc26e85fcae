"""Runs a case and turns its result into an exit code."""

import asyncio
import os
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

from harness.deployment import Deployment
from harness.record import Record

_HELD, _BROKEN, _COULD_NOT_RUN = 0, 1, 2
_MAX_SECONDS = 110.0

# Plays a case on a deployment; returns whether the rule was broken.
Play = Callable[[Deployment, bool], Awaitable[bool]]


def run_case(
    folder: Path, machines: Sequence[tuple[str, str, str]], play: Play
) -> None:
    """Plays a case and exits: 1 if the rule was broken, 0 if it held, else 2.

    Args:
        folder: The folder of the case, for `record.txt`.
        machines: Name, zone and service of each machine.
        play: Starts the deployment and plays the case. Its second argument is
            whether the disruption happens.
    """
    record = Record()
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = asyncio.run(_play(machines, play, record, has_trouble))
    except Exception:
        record.say(f"the case could not run:\n{traceback.format_exc()}")
        code = _COULD_NOT_RUN
    record.say(f"trouble={int(has_trouble)} exit={code}")
    record.write(folder / "record.txt")
    sys.exit(code)


async def _play(
    machines: Sequence[tuple[str, str, str]],
    play: Play,
    record: Record,
    has_trouble: bool,
) -> int:
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(machines, Path(folder), record)
        try:
            async with asyncio.timeout(_MAX_SECONDS):
                broken = await play(deployment, has_trouble)
        finally:
            await deployment.stop()
            if keep := os.environ.get("KEEP_LOGS"):
                for machine in deployment.machines:
                    path = Path(keep) / f"{machine.name}.log"
                    path.write_text(machine.read_log())
    return _BROKEN if broken else _HELD
