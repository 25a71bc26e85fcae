"""Merges the small chunks of a chunked body before they are parsed."""

import re

from rhubarbpaddle.http.chunk_run import MAX_CHUNK_BYTES, ChunkRun

# Chunks up to this length are merged. The cost of parsing and sending on a
# longer one is small beside that of its bytes.
_MAX_SMALL_BYTES = 1024
# After this many small chunks of a body, runs of them are looked for. A body
# with fewer costs less without.
_FEW_CHUNKS = 16
# A longer head of a chunk is left to the parser, which limits its length.
_MAX_HEAD_BYTES = 256
# The head of a chunk: its length and extensions, which a recipient may drop
# (RFC 9112, section 7.1.1).
_HEAD = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n\0]{0,200})?\r\n")
_PARTIAL_HEAD = re.compile(rb"(?:[0-9A-Fa-f]{1,16}(?:;[^\r\n\0]{0,200})?\r?)?")


class ChunkMerger:
    """Rewrites a chunked body so that it has few small chunks.

    A peer may send each byte in a chunk of its own. Each chunk costs the parser
    about as much time as 64 KiB in one, so that a few connections of this kind
    would occupy the process.

    What is no valid chunk is left to the parser, as is everything after the
    last chunk.

    Attributes:
        merged: The number of chunks that have been merged.
        rounds: The number of times that a chunk or a run of chunks was looked
            for, which is a measure of the work.
    """

    def __init__(self) -> None:
        self.merged = 0
        self.rounds = 0
        self._held = b""
        self._to_skip = 0
        self._ended = False

    def feed(self, data: bytes) -> bytes:
        """Returns the bytes to parse, of which there may be none yet.

        Args:
            data: The next received bytes, or no bytes at the end of the stream.
        """
        if self._ended:
            return data
        if not data:
            self._ended = True
            held, self._held = self._held, b""
            return held
        data, self._held = self._held + data, b""
        output: list[bytes] = []
        content = bytearray()
        position = 0
        while position < len(data) and not self._ended:
            self.rounds += 1
            if self._to_skip:
                end = min(len(data), position + self._to_skip)
                self._to_skip -= end - position
                _append_chunk(output, content)
                output.append(data[position:end])
                position = end
                continue
            head = _HEAD.match(data, position)
            if head is None:
                if _is_partial_head(data, position):
                    break
                self._ended = True
                continue
            size = int(head[1], 16)
            start, end = head.end(), head.end() + size + 2
            if size == 0 or (
                size <= _MAX_SMALL_BYTES
                and end <= len(data)
                and data[end - 2 : end] != b"\r\n"
            ):
                self._ended = True
            elif size > _MAX_SMALL_BYTES:
                self._to_skip = end - position
            elif end > len(data):
                break
            elif (
                size <= MAX_CHUNK_BYTES
                and self.merged >= _FEW_CHUNKS
                and (run := ChunkRun.find(data, position)) is not None
            ):
                self.merged += run.chunks
                content += run.content
                position = run.end
            else:
                self.merged += 1
                content += data[start : end - 2]
                position = end
        _append_chunk(output, content)
        if self._ended:
            output.append(data[position:])
        else:
            self._held = data[position:]
        return b"".join(output)


def _is_partial_head(data: bytes, position: int) -> bool:
    rest = data[position : position + _MAX_HEAD_BYTES + 1]
    return (
        len(rest) <= _MAX_HEAD_BYTES
        and _PARTIAL_HEAD.fullmatch(rest) is not None
    )


def _append_chunk(output: list[bytes], content: bytearray) -> None:
    """Appends merged content as one chunk and clears it."""
    if content:
        output.append(b"%x\r\n%b\r\n" % (len(content), bytes(content)))
        content.clear()
