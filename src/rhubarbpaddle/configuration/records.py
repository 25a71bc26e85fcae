"""Decodes records of the log's `configuration` stream."""

from typing import Any

import msgspec

from rhubarbpaddle.configuration.checkpoint import Checkpoint
from rhubarbpaddle.configuration.publication import Publication
from rhubarbpaddle.exceptions import ConfigurationError


def parse_record(payload: bytes) -> Publication | Checkpoint:
    """Decodes the JSON payload of a record.

    Raises:
        ConfigurationError: The payload is neither a publication nor a
            checkpoint.
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
