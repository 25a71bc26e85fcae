"""Requests the status of all nodes."""

import h11
import trio

from rhubarbpaddle.cli.fleet_report import FleetReport
from rhubarbpaddle.cli.node_report import NodeReport
from rhubarbpaddle.exceptions import ProtocolError, RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody
from rhubarbpaddle.http.client_connection import ClientConnection
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.network import Network

_NODE_TIMEOUT_SECONDS = 2.0
_MAX_CONCURRENT_REQUESTS = 64


class FleetClient:
    """Requests the members from one node, then the status of each member."""

    def __init__(self, network: Network) -> None:
        self._network = network

    async def fetch_all(self, address: str) -> FleetReport:
        """Requests the status of all members in a node's member table.

        64 nodes are queried at a time, with a timeout of 2 s each, so 800 nodes
        that do not respond take 26 s.

        Args:
            address: The admin address of any node.

        Returns:
            The status of the members that responded.

        Raises:
            RhubarbpaddleError: The node at the address did not respond.
        """
        entry_report = await self._fetch_report(address)
        reports: dict[str, NodeReport] = {}
        unreached: dict[str, str] = {}
        limiter = trio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

        async def fetch(name: str, member_address: str) -> None:
            async with limiter:
                try:
                    reports[name] = await self._fetch_report(member_address)
                except RhubarbpaddleError as exc:
                    unreached[name] = f"{member_address}: {exc.detail}"

        async with trio.open_nursery() as nursery:
            for name, member_address in entry_report.members.items():
                nursery.start_soon(fetch, name, member_address)
        return FleetReport(reports, unreached)

    async def _fetch_report(self, address: str) -> NodeReport:
        with trio.move_on_after(_NODE_TIMEOUT_SECONDS):
            try:
                return await self._fetch_status(address)
            except (OSError, ValueError, TypeError) as exc:
                raise ProtocolError(
                    str(exc) or type(exc).__name__, step="status", peer=address
                ) from exc
        raise ProtocolError(
            f"no response within {_NODE_TIMEOUT_SECONDS:g} s",
            step="status",
            peer=address,
        )

    async def _fetch_status(self, address: str) -> NodeReport:
        stream = await self._network.connect(address)
        conn = ClientConnection(stream, address)
        try:
            head = h11.Request(
                method="GET", target="/status", headers=[("host", address)]
            )
            await conn.send_request(head, BytesBody(b""))
            response, body = await conn.receive_response()
            content = bytearray()
            while chunk := await body.receive():
                content += chunk
        finally:
            await conn.aclose()
        if response.status_code != 200:
            raise ValueError(f"the node responded with {response.status_code}")
        return NodeReport.from_config(
            dict(decode_json(bytes(content), replace_invalid_text=True))
        )
