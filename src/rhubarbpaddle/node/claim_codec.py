"""Encodes and decodes records of the log's `claims-N` streams."""

from collections.abc import Sequence

import msgspec

from rhubarbpaddle.execution.claim_ledger import LogRecord
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease


class _RecordGroup(msgspec.Struct, array_like=True, tag="claims1", frozen=True):
    """The records of one append, applied in the order of these fields."""

    written_ms: int
    claims: list[ClaimRecord]
    outcomes: list[ClaimOutcome]
    releases: list[ClaimRelease]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_RecordGroup)


def encode_group(written_ms: int, records: Sequence[LogRecord]) -> bytes:
    """Encodes a group of records.

    Readers apply the claims before the outcomes and releases.

    Args:
        written_ms: The time of the append in milliseconds since the Unix epoch.
        records: The records of the group.
    """
    return _encoder.encode(
        _RecordGroup(
            written_ms,
            [r for r in records if isinstance(r, ClaimRecord)],
            [r for r in records if isinstance(r, ClaimOutcome)],
            [r for r in records if isinstance(r, ClaimRelease)],
        )
    )


def decode_group(payload: bytes) -> tuple[int, list[LogRecord]]:
    """Decodes a group of records.

    Returns:
        The time of the append in milliseconds since the Unix epoch, and the
        records.

    Raises:
        ValueError: The payload is not a group.
    """
    group = _decoder.decode(payload)
    return group.written_ms, [*group.claims, *group.outcomes, *group.releases]
