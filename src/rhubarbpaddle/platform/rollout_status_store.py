"""The states of roll-outs in the platform's store."""

import json
from typing import Any

from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.platform.store_client import StoreClient
from rhubarbpaddle.rollout.log_end import LogEnd
from rhubarbpaddle.rollout.rollout_state import RolloutState
from rhubarbpaddle.rollout.rollout_status import RolloutStatus
from rhubarbpaddle.telemetry import get_logger

_TOPIC = "keyed.status"
_PREFIX = "rollout/"
_FOREIGN_ORDER = -1

_log = get_logger("rollout")


class RolloutStatusStore:
    """Implements `StatusStore` on a keyed topic."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    async def read(self, service: str) -> tuple[RolloutStatus | None, LogEnd]:
        """Returns the newest status of a service and the end of the topic.

        Raises:
            LogUnavailableError: The store sent no valid response.
        """
        newest = await self._store.read_newest(_TOPIC)
        end = LogEnd(newest.era, newest.end)
        for record in newest.records:
            if record.key == _PREFIX + service and record.value:
                return _parse_status(service, record), end
        return None, end

    async def write(self, status: RolloutStatus, end: LogEnd) -> bool:
        """Writes a status if the topic still has the given end.

        Raises:
            LogUnavailableError: It was not written.
            AppendUnknownError: It may have been written, or may still be.
        """
        document: dict[str, Any] = {
            "service": status.service,
            "state": status.state.value,
            "targetVersion": status.target_version,
            "order": status.order,
        }
        if status.started_at is not None:
            document["startedMs"] = round(status.started_at * 1000)
        written = await self._store.put_at(
            _TOPIC,
            _PREFIX + status.service,
            json.dumps(document).encode(),
            end.offset,
            end.era,
        )
        fields = {
            "service": status.service,
            "order": status.order,
            "state": status.state.value,
            "era": end.era,
            "offset": end.offset,
        }
        if written:
            _log.info("rollout_status_written", **fields)
        else:
            _log.info("rollout_status_changed", **fields)
        return written


def _parse_status(service: str, record: KeyedRecord) -> RolloutStatus | None:
    try:
        document: Any = decode_json(record.value)
        started_ms = document.get("startedMs")
        return RolloutStatus(
            service,
            str(document["targetVersion"]),
            RolloutState(document["state"]),
            int(document.get("order", _FOREIGN_ORDER)),
            None if started_ms is None else float(started_ms) / 1000,
        )
    except (
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
        OverflowError,
    ) as exc:
        _log.warn(
            "rollout_status_invalid",
            service=service,
            offset=record.offset,
            reason=repr(exc),
        )
        return None
