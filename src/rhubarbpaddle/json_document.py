"""Decodes JSON documents from outside the process.

The store, instances, peers and operators may send anything. A document that
could exhaust the stack or that holds numbers which no field can have is
rejected as a whole, by one kind of error, which does not quote the document:
configurations hold the keys of organisations.
"""

import json
from itertools import chain
from typing import Any

# The deepest valid document, a configuration, has 6 levels.
MAX_DEPTH = 32
# All integers of valid documents fit into 64 bits, and all their digits into
# this length.
_MAX_INTEGER = 2**63 - 1
_MAX_NUMBER_LENGTH = 32
_OUT_OF_RANGE = "number out of range"


def decode_json(content: bytes | str) -> Any:
    """Decodes a document.

    Raises:
        ValueError: The content is not valid JSON, is nested more than
            `MAX_DEPTH` deep, or holds a number that is not finite or does not
            fit into 64 bits.
    """
    try:
        document = json.loads(
            content,
            parse_int=_parse_integer,
            parse_float=_parse_float,
            parse_constant=_reject_constant,
        )
    except RecursionError as exc:
        raise ValueError("the document is nested too deeply") from exc
    except UnicodeDecodeError as exc:
        # The representation of the original error holds the whole content.
        raise ValueError(f"not UTF-8 text: {exc}") from exc
    _check_depth(document)
    return document


def _parse_integer(text: str) -> int:
    if len(text) <= _MAX_NUMBER_LENGTH:
        value = int(text)
        if -_MAX_INTEGER <= value <= _MAX_INTEGER:
            return value
    raise ValueError(_OUT_OF_RANGE)


def _parse_float(text: str) -> float:
    value = float(text)
    # Whatever is converted to an integer afterwards stays in its range.
    if -_MAX_INTEGER <= value <= _MAX_INTEGER:
        return value
    raise ValueError(_OUT_OF_RANGE)


def _reject_constant(name: str) -> None:
    raise ValueError(f"not a number: {name}")


def _check_depth(document: object) -> None:
    level = [document]
    for _ in range(MAX_DEPTH):
        level = list(
            chain.from_iterable(
                value.values() if isinstance(value, dict) else value
                for value in level
                if isinstance(value, (dict, list))
            )
        )
        if not level:
            return
    raise ValueError("the document is nested too deeply")
