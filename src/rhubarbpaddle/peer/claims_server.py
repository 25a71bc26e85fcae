"""Server of the claims protocol, run by the owners of partitions."""

from datetime import timedelta

from rhubarbpaddle.exceptions import ProtocolError, RefusedError
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_store import ClaimStore
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.messages import (
    ClaimGranted,
    ClaimHeldResponse,
    ClaimRefused,
    ClaimRequest,
    Hello,
    Message,
    OutcomeReport,
    ReleaseReport,
    ReportRecorded,
)
from rhubarbpaddle.work_count import WorkCount


class ClaimsServer:
    """Handles claims and reports, one at a time on each connection.

    Attributes:
        work: Counts the claims and reports in progress.
    """

    def __init__(self, store: ClaimStore) -> None:
        self._store = store
        self.work = WorkCount()

    async def serve(self, conn: PeerConnection, hello: Hello) -> None:
        """Handles the messages of one connection until it closes."""
        while not conn.broken:
            message = await conn.receive()
            with self.work:
                await conn.send(await self._handle_message(conn, message))

    async def _handle_message(
        self, conn: PeerConnection, message: Message
    ) -> Message:
        match message:
            case ClaimRequest(record=record):
                return await self._handle_claim(record)
            case OutcomeReport() | ReleaseReport():
                return await self._handle_report(message)
        raise ProtocolError(
            f"expected a claim or report, got {type(message).__name__}",
            step="receive_claim",
            peer=conn.peer,
        )

    async def _handle_claim(self, record: ClaimRecord) -> Message:
        try:
            held = await self._store.claim(record)
        except RefusedError as exc:
            return _make_claim_refused(record.claim_id, exc)
        if held is None:
            return ClaimGranted(record.claim_id)
        return ClaimHeldResponse(record.claim_id, held)

    async def _handle_report(
        self, report: OutcomeReport | ReleaseReport
    ) -> Message:
        claim_id = report.record.claim_id
        try:
            await self._store.report(report.record)
        except RefusedError as exc:
            return _make_claim_refused(claim_id, exc)
        return ReportRecorded(claim_id)


def _make_claim_refused(claim_id: bytes, exc: RefusedError) -> ClaimRefused:
    return ClaimRefused(
        claim_id,
        exc.code,
        exc.detail,
        exc.status,
        exc.outcome,
        exc.retry_after // timedelta(milliseconds=1),
    )
