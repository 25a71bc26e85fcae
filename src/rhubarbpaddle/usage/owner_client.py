"""The interface that sends a query to another node."""

from typing import Protocol

from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_query import UsageQuery


class OwnerClient(Protocol):
    """Sends queries about usage caps to other nodes."""

    async def ask(
        self, address: str, query: UsageQuery, until: float
    ) -> UsageGrant:
        """Returns the response of another node.

        Args:
            address: `IP:PORT` of the other node's peer listener.
            query: The query.
            until: Monotonic seconds until which to wait for the response.

        Raises:
            OSError: The other node is unreachable.
            RhubarbpaddleError: It did not respond in time or correctly.
        """
        ...
