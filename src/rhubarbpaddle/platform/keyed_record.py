"""Records of a keyed topic and their binary encoding."""

import struct
from collections.abc import Iterator
from typing import NamedTuple

from rhubarbpaddle.exceptions import ProtocolError

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class KeyedRecord(NamedTuple):
    """The value that a key has from one offset on.

    Attributes:
        key: The key.
        value: The value; empty if the key was deleted.
        offset: The position of the record in its partition.
    """

    key: str
    value: bytes
    offset: int


def parse_read_response(
    data: bytes, start: int
) -> tuple[int, list[KeyedRecord]]:
    """Parses the response to a `log-read` call.

    Args:
        data: Two offsets of 8 bytes, the partition's end and its first
            retained record, followed by the records.
        start: The requested offset, which is that of the first record.

    Returns:
        The end offset of the partition and the records.

    Raises:
        ProtocolError: The data is malformed.
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
            f"malformed records: {exc!r}", step="read_log"
        ) from exc


def encode_record(key: str, value: bytes) -> bytes:
    """Encodes a record for a `log-append` call."""
    encoded_key = key.encode()
    content = bytes([len(encoded_key)]) + encoded_key + value
    return _LENGTH.pack(len(content)) + content


def _iter_contents(data: bytes) -> Iterator[bytes]:
    position = _OFFSETS.size
    while position < len(data):
        (length,) = _LENGTH.unpack_from(data, position)
        position += _LENGTH.size
        if position + length > len(data):
            raise ValueError("the last record is truncated")
        yield data[position : position + length]
        position += length


def _parse_content(content: bytes, offset: int) -> KeyedRecord:
    length = content[0]
    key = content[1 : 1 + length].decode("utf-8", "replace")
    return KeyedRecord(key, content[1 + length :], offset)
