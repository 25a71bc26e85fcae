"""Authenticates incoming connections from other nodes."""

import secrets
from collections.abc import Callable, Mapping
from datetime import timedelta

import trio

from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.peer.connection import PeerConnection
from rhubarbpaddle.peer.connection_handler import ConnectionHandler
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.messages import Challenge, Hello, Reject, Welcome
from rhubarbpaddle.telemetry import get_logger

HANDSHAKE_SECONDS = 2.0
_NONCE_BYTES = 16

_log = get_logger("peer")


class PeerListener:
    """Authenticates connections and passes each to its purpose's handler."""

    def __init__(
        self,
        identity: PeerIdentity,
        handlers: Mapping[str, ConnectionHandler],
        get_welcome_delay: Callable[[Hello], timedelta] | None = None,
    ) -> None:
        """Creates a listener.

        Args:
            identity: Verifies the other nodes.
            handlers: The handler of each purpose.
            get_welcome_delay: Returns how long the other node has to wait until
                its connection is accepted; none has to if it is absent.
        """
        self._identity = identity
        self._handlers = handlers
        self._get_welcome_delay = get_welcome_delay

    async def handle(self, stream: trio.abc.Stream) -> None:
        """Serves one connection until it closes.

        Protocol and connection errors are logged and close only this
        connection.
        """
        conn = PeerConnection(stream, "unauthenticated")
        try:
            hello = await self._authenticate(conn)
            if hello is not None:
                await self._handlers[hello.purpose].serve(conn, hello)
        except RhubarbpaddleError as exc:
            _log.debug("peer_connection_ended", error=exc)
        except Exception as exc:
            # A fault in the handling of one message must not end the node.
            _log.error("peer_connection_failed", reason=repr(exc))
        finally:
            await conn.aclose()

    async def _authenticate(self, conn: PeerConnection) -> Hello | None:
        nonce = secrets.token_bytes(_NONCE_BYTES)
        with trio.move_on_after(HANDSHAKE_SECONDS):
            await conn.send(Challenge(nonce))
            hello = await conn.receive()
            if not isinstance(hello, Hello):
                return None
            reason = self._identity.find_rejection_reason(hello, nonce)
            if reason is None and hello.purpose not in self._handlers:
                reason = f"unknown purpose {hello.purpose!r}"
            if reason is not None:
                _log.warn("peer_rejected", peer=hello.node_id, reason=reason)
                await conn.send(Reject(reason))
                return None
            conn.peer = hello.node_id
            if self._get_welcome_delay is not None:
                delay = self._get_welcome_delay(hello)
                await trio.sleep(delay.total_seconds())
            await conn.send(
                Welcome(self._identity.node_id, self._identity.incarnation)
            )
            return hello
        return None
