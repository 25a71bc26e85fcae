"""Routes claims to the owner of their partition."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.claim_held import ClaimHeld
from rhubarbpaddle.execution.claim_ledger import LogRecord
from rhubarbpaddle.execution.claim_outcome import ClaimOutcome
from rhubarbpaddle.execution.claim_partitions import (
    ClaimPartitions,
    get_partition,
)
from rhubarbpaddle.execution.claim_record import ClaimRecord
from rhubarbpaddle.execution.claim_release import ClaimRelease
from rhubarbpaddle.execution.claim_store import ClaimStore
from rhubarbpaddle.outcome import Outcome

# Refusals caused by the connection to the owner, not by the log, so that
# another node may succeed.
_RETRYABLE_CODES = frozenset({"owner_unreachable", "owner_lost"})


T = TypeVar("T")


class ClaimRouter:
    """Sends claims to a partition's owner, or else to the next in rank.

    Any node can act as the owner, so a failed owner costs one more round trip
    and a replay, instead of a wait until it is declared dead.
    """

    def __init__(
        self,
        node_id: str,
        partitions: ClaimPartitions,
        local_store: ClaimStore,
        get_remote: Callable[[str], ClaimStore],
    ) -> None:
        self._node_id = node_id
        self._partitions = partitions
        self._local_store = local_store
        self._get_remote = get_remote

    async def claim(self, record: ClaimRecord) -> ClaimHeld | None:
        """Claims a key; see `ClaimStore`."""
        return await self._call_owners(
            record, lambda store: store.claim(record)
        )

    async def report(self, record: ClaimOutcome | ClaimRelease) -> None:
        """Records the outcome or release of a claim; see `ClaimStore`."""
        await self._call_owners(record, lambda store: store.report(record))

    async def _call_owners(
        self, record: LogRecord, call: Callable[[ClaimStore], Awaitable[T]]
    ) -> T:
        refusal: RefusedError | None = None
        for store in self._get_stores(get_partition(record.key)):
            try:
                return await call(store)
            except RefusedError as exc:
                if refusal is None or refusal.outcome is Outcome.NOT_RUN:
                    refusal = exc
                # After a lost connection the outcome can't be `not-run`: the
                # failed owner may have appended the claim.
                if exc.code not in _RETRYABLE_CODES:
                    raise refusal from exc
        raise refusal or RefusedError(
            "no_owner", "no node owns the key's partition", step="claim"
        )

    def _get_stores(self, partition: int) -> list[ClaimStore]:
        return [
            self._local_store
            if member.node_id == self._node_id
            else self._get_remote(member.peer_address)
            for member in self._partitions.get_owners(partition)
        ]
