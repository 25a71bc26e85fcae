"""The payload of the records in the log's `claims-N` streams."""

from collections.abc import Sequence

import msgspec

from rhubarbpaddle.execution.claim_ledger import LogRecord
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease


class _RecordGroup(msgspec.Struct, array_like=True, tag="claims1", frozen=True):
    """Everything that one append carries; the array order is the log order."""

    written_ms: int
    claims: list[ClaimRecord]
    outcomes: list[ClaimOutcome]
    releases: list[ClaimRelease]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_RecordGroup)


def encode_group(written_ms: int, records: Sequence[LogRecord]) -> bytes:
    """Returns the payload of a group; readers see claims, then ends."""
    return _encoder.encode(
        _RecordGroup(
            written_ms,
            [r for r in records if isinstance(r, ClaimRecord)],
            [r for r in records if isinstance(r, ClaimOutcome)],
            [r for r in records if isinstance(r, ClaimRelease)],
        )
    )


def decode_group(payload: bytes) -> tuple[int, list[LogRecord]]:
    """Returns the time in ms at which a group was written, and its records.

    Raises:
        ValueError: The payload is not a group.
    """
    group = _decoder.decode(payload)
    return group.written_ms, [*group.claims, *group.outcomes, *group.releases]
