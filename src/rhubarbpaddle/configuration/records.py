"""Records of the log's `configuration` stream."""

from typing import Any, Literal, NotRequired, TypedDict

import msgspec

from rhubarbpaddle.exceptions import ConfigurationError


class Publication(TypedDict):
    """An operator's attempt to replace the configuration.

    It takes effect if `base` is the version accepted at its place in the log.
    """

    kind: Literal["publication"]
    id: str
    base: int
    text: str
    publisher: str


class Checkpoint(TypedDict):
    """The accepted configuration as of an offset, for readers without state.

    `as_of` is the offset through which the writer had replayed the stream.
    `written_ms` is the writer's wall clock in milliseconds since the epoch.
    """

    kind: Literal["checkpoint"]
    version: int
    text: str
    as_of: int
    written_ms: NotRequired[int]


def parse_record(payload: bytes) -> Publication | Checkpoint:
    """Decodes the payload of a record.

    Raises:
        ConfigurationError: It is neither a publication nor a checkpoint.
    """
    try:
        document: Any = msgspec.json.decode(payload)
        if isinstance(document, dict) and document.get("kind") == "checkpoint":
            checkpoint = msgspec.convert(document, Checkpoint)
            if checkpoint["version"] >= 1 and checkpoint["as_of"] >= 0:
                return checkpoint
            raise ValueError("version or as_of out of range")
        return msgspec.convert(document, Publication)
    except (ValueError, RecursionError) as exc:
        raise ConfigurationError([str(exc)], step="parse_record") from exc
