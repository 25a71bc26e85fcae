"""Sends a request to this node's own upstream or to another node."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from rhubarbpaddle.execution import Body, Dispatcher, Request, Response
from rhubarbpaddle.execution.sidecar import Sidecar
from rhubarbpaddle.routing import Candidate


class NodeDispatcher:
    """Saves the hop when the chosen instance stands beside this node."""

    def __init__(
        self, node_id: str, sidecar: Sidecar, remote: Dispatcher
    ) -> None:
        self._node_id = node_id
        self._sidecar = sidecar
        self._remote = remote

    @asynccontextmanager
    async def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AsyncIterator[Response]:
        """Sends a request and returns its answer."""
        if candidate.node_id == self._node_id:
            context = self._sidecar.handle(
                request, body, candidate.instance, candidate.incarnation
            )
        else:
            context = self._remote.dispatch(  # type: ignore[assignment]
                request, body, candidate
            )
        async with context as response:
            yield response
