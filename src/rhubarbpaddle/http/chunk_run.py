"""A run of small chunks in a chunked body."""

import functools
import re
from operator import itemgetter
from typing import NamedTuple, Self

# The longest chunk of a run.
MAX_CHUNK_BYTES = 64
# The greatest length that one hexadecimal digit can state.
_MAX_DIGIT = 15
# A run of chunks whose head is one digit is taken alone if it is this long, as
# their content is extracted in half the time.
_MIN_SHORT_BYTES = 1024
# A longer run is found in parts, since the list of its chunks takes up to seven
# times its memory.
_MAX_RUN_BYTES = 8 * 1024
# A longer head is not compared with the others of its run.
_MAX_UNIFORM_HEAD_BYTES = 16
_CRLF_BYTES = 2
_SHORT_HEAD_BYTES = 1 + _CRLF_BYTES
_get_short_content = itemgetter(slice(_SHORT_HEAD_BYTES, -_CRLF_BYTES))
# A recipient may drop extensions (RFC 9112, section 7.1.1).
_EXTENSION = rb"(?:;[^\r\n\0]{0,200}+)?+"
# At most 16 digits are parsed as a length; the others are zeros.
_ZEROS = rb"0{0,14}+"


class ChunkRun(NamedTuple):
    """Consecutive chunks of any mixture of lengths up to `MAX_CHUNK_BYTES`.

    The work for each chunk is done by the regular expression engine and by
    functions in C: a round of a Python loop takes 2 us, about ten times as long
    as that.

    Attributes:
        end: The position behind the last chunk.
        chunks: The number of chunks.
        content: Their content.
    """

    end: int
    chunks: int
    content: bytes

    @classmethod
    def find(cls, data: bytes, position: int) -> Self | None:
        """Returns the run that begins at a position, or None.

        Args:
            data: Received bytes.
            position: Where a chunk begins.
        """
        limit = position + _MAX_RUN_BYTES
        short = _compile_short_run().match(data, position, limit)
        if short is not None and (
            short.end() == len(data)
            or short.end() - position >= _MIN_SHORT_BYTES
        ):
            return cls._from_short(short[0], short.end())
        run = _compile_run().match(data, position, limit)
        if run is None:
            return None
        uniform = cls._from_uniform(run[0], run.end())
        if uniform is not None:
            return uniform
        # The chunks that the run consists of: each begins where the one before
        # it ends, as in the run, and its first bytes determine its end.
        chunks = _compile_chunk().findall(run[0])
        content = b"".join(
            [chunk[chunk.index(b"\n") + 1 : -_CRLF_BYTES] for chunk in chunks]
        )
        return cls(run.end(), len(chunks), content)

    @classmethod
    def _from_short(cls, run: bytes, end: int) -> Self:
        """Extracts the content of chunks whose head is one digit."""
        uniform = cls._from_uniform(run, end)
        if uniform is not None:
            return uniform
        chunks = _compile_short_chunk().findall(run)
        return cls(end, len(chunks), b"".join(map(_get_short_content, chunks)))

    @classmethod
    def _from_uniform(cls, run: bytes, end: int) -> Self | None:
        """Extracts the content of chunks that all have the same head.

        Returns:
            None if their heads differ or are long.
        """
        first = _compile_chunk().match(run)
        assert first is not None
        length = first.end()
        head_length = run.index(b"\n") + 1
        count = len(run) // length
        framing = (*range(head_length), length - 2, length - 1)
        # The run consists of whole chunks. If the head of the first one is
        # found at each multiple of its length, all have this length.
        if (
            head_length > _MAX_UNIFORM_HEAD_BYTES
            or len(run) != length * count
            or any(
                run[index::length] != run[index : index + 1] * count
                for index in framing
            )
        ):
            return None
        size = length - head_length - _CRLF_BYTES
        content = bytearray(count * size)
        for index in range(size):
            content[index::size] = run[head_length + index :: length]
        return cls(end, count, bytes(content))


def _make_digit(value: int) -> bytes:
    digit = b"%x" % value
    return b"[%b%b]" % (digit, digit.upper()) if value > 9 else digit


def _make_rest(size: int, extension: bytes) -> bytes:
    """Returns what follows the digits of a chunk's length."""
    return rb"%b\r\n[\0-\xff]{%d}\r\n" % (extension, size)


def _make_short_chunk() -> bytes:
    """Returns an expression for a chunk whose head is one digit."""
    return b"|".join(
        _make_digit(size) + _make_rest(size, b"")
        for size in range(1, _MAX_DIGIT + 1)
    )


def _make_chunk() -> bytes:
    """Returns an expression for a chunk of up to `MAX_CHUNK_BYTES`.

    It branches on each digit, which takes less time than one branch for each
    length.
    """
    alternatives = []
    for first in range(1, 16):
        rests = [
            _make_digit(size % 16) + _make_rest(size, _EXTENSION)
            for size in range(first * 16, first * 16 + 16)
            if size <= MAX_CHUNK_BYTES
        ]
        rests.append(_make_rest(first, _EXTENSION))
        alternatives.append(
            b"%b(?:%b)" % (_make_digit(first), b"|".join(rests))
        )
    return b"%b(?:%b)" % (_ZEROS, b"|".join(alternatives))


# Compiled at the first use, which takes 6 ms: few processes need them.
@functools.cache
def _compile_short_chunk() -> re.Pattern[bytes]:
    return re.compile(_make_short_chunk())


@functools.cache
def _compile_short_run() -> re.Pattern[bytes]:
    return re.compile(rb"(?:%b)++" % _make_short_chunk())


@functools.cache
def _compile_chunk() -> re.Pattern[bytes]:
    return re.compile(_make_chunk())


@functools.cache
def _compile_run() -> re.Pattern[bytes]:
    return re.compile(rb"(?:%b)++" % _make_chunk())
