"""The owner's side of claims connections."""

from datetime import timedelta

from rhubarbpaddle.exceptions import ProtocolError, RefusedError
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_store import ClaimStore
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import (
    ClaimGranted,
    ClaimHeldAnswer,
    ClaimRefused,
    ClaimRequest,
    Hello,
    Message,
    OutcomeReport,
    ReleaseReport,
    ReportRecorded,
)


class ClaimsServer:
    """Answers the claims that arrive on a connection, one after another."""

    def __init__(self, store: ClaimStore) -> None:
        self._store = store

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Serves one connection until it ends."""
        while not conn.broken:
            message = await conn.receive()
            match message:
                case ClaimRequest(record=record):
                    answer = await self._claim(record)
                case OutcomeReport() | ReleaseReport():
                    answer = await self._report(message)
                case _:
                    raise ProtocolError(
                        f"expected a claim, got {type(message).__name__}",
                        step="receive_claim",
                        peer=conn.peer,
                    )
            await conn.send(answer)

    async def _claim(self, record: ClaimRecord) -> Message:
        try:
            held = await self._store.claim(record)
        except RefusedError as exc:
            return _to_refused(record.claim_id, exc)
        if held is None:
            return ClaimGranted(record.claim_id)
        return ClaimHeldAnswer(record.claim_id, held)

    async def _report(self, report: OutcomeReport | ReleaseReport) -> Message:
        claim_id = report.record.claim_id
        try:
            await self._store.report(report.record)
        except RefusedError as exc:
            return _to_refused(claim_id, exc)
        return ReportRecorded(claim_id)


def _to_refused(claim_id: bytes, exc: RefusedError) -> ClaimRefused:
    return ClaimRefused(
        claim_id,
        exc.code,
        exc.detail,
        exc.status,
        exc.outcome,
        exc.retry_after // timedelta(milliseconds=1),
    )
