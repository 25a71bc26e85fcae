"""A record of a topic whose records have keys."""

import struct
from collections.abc import Iterator
from typing import NamedTuple

from rhubarbpaddle.exceptions import ProtocolError

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class KeyedRecord(NamedTuple):
    """The value of a key from one offset on.

    Attributes:
        key: The key.
        value: The value; empty if the key was dropped.
        offset: The record's place in its partition.
    """

    key: str
    value: bytes
    offset: int


def parse_read(data: bytes, start: int) -> tuple[int, list[KeyedRecord]]:
    """Parses the answer to a read.

    Args:
        data: Two offsets of 8 bytes, the partition's end and its first
            retained record, and then the records.
        start: The offset that was asked for, which the first record has.

    Returns:
        The partition's end and the records.

    Raises:
        ProtocolError: The bytes have another form.
    """
    try:
        end, _ = _OFFSETS.unpack_from(data)
        contents = list(_iter_contents(data))
        return end, [
            _parse_content(content, start + index)
            for index, content in enumerate(contents)
        ]
    except (struct.error, ValueError, IndexError) as exc:
        raise ProtocolError(
            f"the records can't be read: {exc!r}", step="read_log"
        ) from exc


def encode_record(key: str, value: bytes) -> bytes:
    """Returns a record as `log-append` takes it."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def _iter_contents(data: bytes) -> Iterator[bytes]:
    place = _OFFSETS.size
    while place < len(data):
        (length,) = _LENGTH.unpack_from(data, place)
        place += _LENGTH.size
        if place + length > len(data):
            raise ValueError("a record is cut short")
        yield data[place : place + length]
        place += length


def _parse_content(content: bytes, offset: int) -> KeyedRecord:
    length = content[0]
    key = content[1 : 1 + length].decode("utf-8", "replace")
    return KeyedRecord(key, content[1 + length :], offset)
