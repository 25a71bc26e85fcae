"""Dispatches requests to the local upstream or to another node."""

from contextlib import AbstractAsyncContextManager

from rhubarbpaddle.execution import Body, Dispatcher, Request, Response
from rhubarbpaddle.execution.upstream_proxy import UpstreamProxy
from rhubarbpaddle.routing.candidate import Candidate


class NodeDispatcher:
    """Dispatches directly if the chosen instance is on this node's host."""

    def __init__(
        self, node_id: str, upstream_proxy: UpstreamProxy, remote: Dispatcher
    ) -> None:
        self._node_id = node_id
        self._upstream_proxy = upstream_proxy
        self._remote = remote

    def dispatch(
        self, request: Request, body: Body, candidate: Candidate
    ) -> AbstractAsyncContextManager[Response]:
        """Sends a request and returns its response."""
        if candidate.node_id == self._node_id:
            return self._upstream_proxy.handle(
                request, body, candidate.instance, candidate.incarnation
            )
        return self._remote.dispatch(request, body, candidate)
