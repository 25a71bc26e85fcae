"""The interface of what a pipeline does with the requests that it reads."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import h11

from rhubarbpaddle.execution.caller_presence import CallerPresence
from rhubarbpaddle.http.h11_body import H11Body
from rhubarbpaddle.http.pipelined_request import PipelinedRequest
from rhubarbpaddle.http.read_request import ReadRequest
from rhubarbpaddle.http.server_connection import ServerConnection

if TYPE_CHECKING:
    from rhubarbpaddle.http.request_pipeline import RequestPipeline


class PipelineHandler(Protocol):
    """Runs requests ahead of their turn."""

    def may_read_ahead(self) -> bool:
        """Returns whether requests behind the current one may be read."""
        ...

    def take_request(
        self,
        conn: ServerConnection,
        head: h11.Request,
        body: H11Body,
        presence: CallerPresence,
    ) -> ReadRequest:
        """Finds out what a head that was just read represents."""
        ...

    def try_begin_ahead(self) -> bool:
        """Counts a request that runs ahead, unless too many do on the node.

        Returns:
            Whether it may run. `run_ahead` ends the count.
        """
        ...

    async def run_ahead(
        self,
        conn: ServerConnection,
        pipeline: RequestPipeline,
        entry: PipelinedRequest,
    ) -> None:
        """Runs a request, and sends its response when its turn has come."""
        ...
