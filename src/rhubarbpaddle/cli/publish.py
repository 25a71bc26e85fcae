"""The `publish` command."""

import getpass
import json
import uuid
from datetime import timedelta
from pathlib import Path

import trio

from rhubarbpaddle.cli.exit_code import ExitCode
from rhubarbpaddle.configuration import (
    ConfigurationHistory,
    Publication,
    parse_configuration,
)
from rhubarbpaddle.network import TcpNetwork
from rhubarbpaddle.platform import HttpLogClient, LogClient

_STREAM = "configuration"
_BATCH_RECORDS = 100


def publish_text(path: Path, log_address: str) -> ExitCode:
    """Publishes a text and says whether it was accepted."""
    text = path.read_text()
    parse_configuration(text)
    return trio.run(_publish, text, log_address)


async def _publish(text: str, log_address: str) -> ExitCode:
    log = HttpLogClient(TcpNetwork(), log_address)
    history = ConfigurationHistory()
    await _replay(log, history)
    publication = Publication(
        kind="publication",
        id=uuid.uuid4().hex,
        base=history.accepted.version if history.accepted else 0,
        text=text,
        publisher=getpass.getuser(),
    )
    offset = await log.append(_STREAM, json.dumps(publication).encode())
    await _replay(log, history)
    accepted = history.accepted
    if accepted is None or accepted.as_of != offset:
        print("another publication was accepted first")
        return ExitCode.LOST_RACE
    print(f"accepted as version {accepted.version} at offset {offset}")
    return ExitCode.SUCCESS


async def _replay(log: LogClient, history: ConfigurationHistory) -> None:
    while True:
        batch = await log.read(
            _STREAM, history.next_offset, _BATCH_RECORDS, timedelta()
        )
        for record in batch.records:
            history.apply(record.offset, json.loads(record.payload))
        if history.next_offset >= batch.end_offset:
            return
