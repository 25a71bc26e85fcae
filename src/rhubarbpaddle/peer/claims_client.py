"""Client of the claims protocol, used by gateways."""

from datetime import timedelta

from rhubarbpaddle.exceptions import (
    ProtocolError,
    RefusedError,
    RhubarbpaddleError,
)
from rhubarbpaddle.execution.claim_held import ClaimHeld
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease
from rhubarbpaddle.network import Network
from rhubarbpaddle.outcome import Outcome
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.messages import (
    ClaimGranted,
    ClaimHeldResponse,
    ClaimRefused,
    ClaimRequest,
    Message,
    OutcomeReport,
    ReleaseReport,
    ReportRecorded,
)

# Covers the log client's 3 s for an append, the owner's read, and the 5 s
# during which the owner searches for an append whose response was lost.
_RESPONSE_SECONDS = 10.0
_MAX_IDLE_CONNECTIONS = 32


class ClaimsClient:
    """Sends claims and reports to the node that owns a partition.

    Each connection carries one claim or report at a time.
    """

    def __init__(
        self, network: Network, connector: PeerConnector, address: str
    ) -> None:
        self._network = network
        self._connector = connector
        self._address = address
        self._idle: list[PeerConnection] = []

    async def claim(self, record: ClaimRecord) -> ClaimHeld | None:
        """Claims a key at its owner; see `ClaimStore.claim`."""
        response = await self._exchange(ClaimRequest(record), record.claim_id)
        match response:
            case ClaimGranted():
                return None
            case ClaimHeldResponse(held=held):
                return held
        raise self._make_owner_lost_error(
            f"unexpected {type(response).__name__}"
        )

    async def report(self, record: ClaimOutcome | ClaimRelease) -> None:
        """Reports the end of a claim to its owner; see `ClaimStore.report`."""
        message: Message = (
            OutcomeReport(record)
            if isinstance(record, ClaimOutcome)
            else ReleaseReport(record)
        )
        response = await self._exchange(message, record.claim_id)
        if not isinstance(response, ReportRecorded):
            raise self._make_owner_lost_error(
                f"unexpected {type(response).__name__}"
            )

    async def _exchange(self, message: Message, claim_id: bytes) -> Message:
        conn = await self._acquire()
        try:
            await conn.send(message)
            response = await conn.receive_within(_RESPONSE_SECONDS)
            if getattr(response, "claim_id", None) != claim_id:
                raise ProtocolError(
                    "the response belongs to another claim",
                    step="claim",
                    peer=self._address,
                )
        except RhubarbpaddleError as exc:
            await conn.aclose()
            await self._purge()
            raise self._make_owner_lost_error(str(exc)) from exc
        except BaseException:
            await conn.aclose()
            raise
        await self._release(conn)
        if isinstance(response, ClaimRefused):
            raise RefusedError(
                response.code,
                response.detail,
                step="claim",
                peer=self._address,
                status=response.status,
                outcome=response.outcome,
                retry_after=timedelta(milliseconds=response.retry_after_ms),
            )
        return response

    async def _acquire(self) -> PeerConnection:
        while self._idle:
            conn = self._idle.pop()
            if not self._network.has_input(conn.stream):
                return conn
            await conn.aclose()
        try:
            return await self._connector.connect(self._address, "claims")
        except (OSError, RhubarbpaddleError) as exc:
            raise RefusedError(
                "owner_unreachable",
                f"cannot connect to the owner of the key's partition: {exc}",
                step="claim",
                peer=self._address,
            ) from exc

    async def _release(self, conn: PeerConnection) -> None:
        if len(self._idle) < _MAX_IDLE_CONNECTIONS:
            self._idle.append(conn)
        else:
            await conn.aclose()

    async def _purge(self) -> None:
        while self._idle:
            await self._idle.pop().aclose()

    def _make_owner_lost_error(self, detail: str) -> RefusedError:
        return RefusedError(
            "owner_lost",
            f"exchange with the owner of the key's partition failed: {detail}",
            step="claim",
            peer=self._address,
            outcome=Outcome.UNKNOWN,
        )
