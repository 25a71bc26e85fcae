"""The only door to the upstream beside this node."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from rhubarbpaddle.admission import Admission, Ticket
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.chain_headers import write_chain_headers
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.execution.upstream_client import UpstreamClient
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import UpstreamSummary


class AttachedUpstream(NamedTuple):
    """The upstream that has announced itself, with what serves it."""

    summary: UpstreamSummary
    admission: Admission
    client: UpstreamClient


class Sidecar:
    """Admits requests to the upstream and runs them there.

    Attributes:
        upstream: The upstream beside this node, if one has announced itself.
        in_service: Whether this node's availability zone takes new work.
    """

    def __init__(self, clock: Clock) -> None:
        self.upstream: AttachedUpstream | None = None
        self.in_service = True
        self._clock = clock

    def get_report(self) -> LoadReport | None:
        """Returns the upstream's load, or None if there is no upstream."""
        if self.upstream is None:
            return None
        return self.upstream.admission.get_report()

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body, instance: str, incarnation: int
    ) -> AsyncIterator[Response]:
        """Runs a request once the upstream can bear it.

        Args:
            request: The request.
            body: Its body; read only after the request was admitted.
            instance: The instance that the gateway chose.
            incarnation: The upstream's incarnation that the choice rests on.

        Raises:
            RefusedError: There is no answer; `outcome` tells what is known.
        """
        upstream = self._get_upstream(request, instance, incarnation)
        ticket = Ticket(request.tenant, request.deadline, request.may_queue)
        slot = await upstream.admission.acquire(ticket)
        started = self._clock.monotonic()
        latency = 0.0
        succeeded = False
        try:
            # The wait may have outlived the deadline or the incarnation, for
            # example when the process was paused.
            self._get_upstream(request, instance, incarnation)
            sent = write_chain_headers(request, started)
            async with upstream.client.send(sent, body) as response:
                latency = self._clock.monotonic() - started
                succeeded = response.status < 500
                report = upstream.admission.get_report()
                yield response._replace(report=report)
        finally:
            elapsed = self._clock.monotonic() - started
            slot.release(succeeded, latency or elapsed)

    def _get_upstream(
        self, request: Request, instance: str, incarnation: int
    ) -> AttachedUpstream:
        upstream = self.upstream
        if not self.in_service:
            raise _refuse("zone_out_of_service", "the zone takes no new work")
        if (
            upstream is None
            or upstream.summary.instance != instance
            or upstream.summary.service != request.service
            or upstream.summary.incarnation != incarnation
        ):
            raise _refuse("instance_gone", "the chosen instance is gone")
        if self._clock.monotonic() >= request.deadline:
            raise RefusedError(
                "deadline_exceeded",
                "the deadline passed before the request was sent",
                step="admit",
                status=504,
            )
        return upstream


def _refuse(code: str, detail: str) -> RefusedError:
    return RefusedError(code, detail, step="admit", may_retry=True)
