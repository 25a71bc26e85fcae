"""Decodes JSON documents from outside the process.

The store, instances, peers and operators may send anything. A document that
could exhaust the stack or that holds numbers which no field can have is
rejected as a whole, by one kind of error, which does not quote the document:
configurations hold the keys of organisations.

A lone surrogate, which remains in a string that a program cuts inside a
character, is valid JSON but can't be encoded as UTF-8 again. A document about
one thing is rejected because of it. In a document about many, it is replaced,
so that the rest still holds.
"""

import json
import re
from itertools import chain
from typing import Any

# The deepest valid document, a configuration, has 6 levels.
MAX_DEPTH = 32
# All integers of valid documents fit into 64 bits, and all their digits into
# this length.
_MAX_INTEGER = 2**63 - 1
_MAX_NUMBER_LENGTH = 32
_OUT_OF_RANGE = "number out of range"
_SURROGATE = re.compile("[\ud800-\udfff]")
# Each document with a lone surrogate matches. Others that match have pairs of
# surrogates, which the decoder joins.
_SURROGATE_OR_ESCAPE = re.compile("[\ud800-\udfff]|\\\\u[dD][89a-fA-F]")
_REPLACEMENT = "\ufffd"


def decode_json(
    content: bytes | str, *, replace_invalid_text: bool = False
) -> Any:
    """Decodes a document.

    Args:
        content: The document; bytes are UTF-8.
        replace_invalid_text: Whether U+FFFD replaces lone surrogates,
            instead of an error.

    Raises:
        ValueError: The content is not valid JSON, is nested more than
            `MAX_DEPTH` deep, holds a number that is not finite or does not fit
            into 64 bits, or holds a string that can't be encoded.
    """
    try:
        # The decoder of the library accepts encoded surrogates.
        text = (
            content if isinstance(content, str) else content.decode("utf-8-sig")
        )
        document = json.loads(
            text,
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
    if _SURROGATE_OR_ESCAPE.search(text):
        if replace_invalid_text:
            return _replace_surrogates(document)
        _check_text(document)
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


def _check_text(document: object) -> None:
    match document:
        case str():
            if _SURROGATE.search(document):
                raise ValueError("a string holds a lone surrogate")
        case dict():
            for key, value in document.items():
                _check_text(key)
                _check_text(value)
        case list():
            for value in document:
                _check_text(value)


def _replace_surrogates(document: Any) -> Any:
    match document:
        case str():
            return _SURROGATE.sub(_REPLACEMENT, document)
        case dict():
            return {
                _replace_surrogates(key): _replace_surrogates(value)
                for key, value in document.items()
            }
        case list():
            return [_replace_surrogates(value) for value in document]
    return document
