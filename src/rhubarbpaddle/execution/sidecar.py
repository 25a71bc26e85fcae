"""The proxy for the upstream beside this node."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from datetime import timedelta

from rhubarbpaddle.admission.criticality_table import CriticalityTable
from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.execution.attached_upstream import AttachedUpstream
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.chain_headers import add_chain_headers
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.crash_suspects import CrashSuspects
from rhubarbpaddle.execution.evidence_classification import (
    classify_error,
    classify_response,
)
from rhubarbpaddle.execution.fingerprint import make_fingerprint
from rhubarbpaddle.execution.observed_body import ObservedBody
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.measuring import (
    NO_EVIDENCE,
    Evidence,
    EvidenceKind,
    LoadReport,
)
from rhubarbpaddle.outcome import Outcome

CALLING_SERVICE_HEADER = b"rhubarbpaddle-calling-service"
OUTCOME_HEADER = b"rhubarbpaddle-outcome"


class Sidecar:
    """Admits requests to the upstream and runs them there.

    All requests to the upstream pass through the sidecar.

    Attributes:
        upstream: The upstream beside this node, or None if none has announced
            itself.
        in_service: Whether this node's availability zone accepts new requests.
        leaving: Whether this node is shutting down. It then refuses new
            requests and completes those that are queued or running.
        criticality: Ranks requests by the calling service.
        crashes: The crash counts of requests.
    """

    def __init__(
        self, clock: Clock, crashes: CrashLedger | None = None
    ) -> None:
        self.upstream: AttachedUpstream | None = None
        self.in_service = True
        self.leaving = False
        self.criticality = CriticalityTable({})
        self.crashes = crashes or CrashLedger("-", clock)
        self._suspects = CrashSuspects(self.crashes, clock)
        self._clock = clock

    def attach(self, upstream: AttachedUpstream) -> None:
        """Replaces the upstream that receives requests.

        A new incarnation of the same instance means that the previous one is
        gone, so that its suspected crash is confirmed.
        """
        previous, self.upstream = self.upstream, upstream
        if (
            previous is not None
            and previous.summary.incarnation != upstream.summary.incarnation
        ):
            self._suspects.confirm_crash(previous.summary.incarnation)

    def get_report(self) -> LoadReport | None:
        """Returns the upstream's load, or None without an upstream."""
        if self.upstream is None:
            return None
        return self.upstream.admission.get_report()

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body, instance: str, incarnation: int
    ) -> AsyncIterator[Response]:
        """Runs a request once the upstream has capacity for it.

        Args:
            request: The request.
            body: Its body; read only after the request was admitted.
            instance: The instance that the gateway chose.
            incarnation: The incarnation of the instance at that time.

        Raises:
            RefusedError: There is no response; `outcome` shows whether the
                request may have run.
        """
        if self.leaving:
            raise _make_refusal("node_leaving", "the node is shutting down")
        fingerprint = request.fingerprint or make_fingerprint(
            request.method, request.target, request.service, body
        )
        upstream = self._get_upstream(request, instance, incarnation)
        self._check_fingerprint(fingerprint)
        slot = await upstream.admission.acquire(self._make_ticket(request))
        evidence = NO_EVIDENCE
        try:
            # While the request was queued, the deadline may have passed or the
            # incarnation ended, for example because the process was paused, or
            # the request may have crashed another upstream.
            upstream = self._get_upstream(request, instance, incarnation)
            self._check_fingerprint(fingerprint)
            started = self._clock.monotonic()
            upstream_request = add_chain_headers(request, started)
            request_body = (
                body if isinstance(body, BytesBody) else ObservedBody(body)
            )
            response_body: ObservedBody | None = None
            try:
                async with upstream.client.send(
                    upstream_request, request_body
                ) as response:
                    elapsed = self._clock.monotonic() - started
                    evidence = classify_response(
                        response, request_body, elapsed
                    )
                    _check_outcome(response, request_body)
                    response_body = ObservedBody(response.body)
                    report = upstream.admission.get_report()
                    yield response._replace(body=response_body, report=report)
                self.crashes.record_response(fingerprint)
            except RefusedError as exc:
                if evidence is NO_EVIDENCE:
                    evidence = classify_error(exc, request_body)
                    await self._detect_crash(upstream, evidence, fingerprint)
                raise
            except BaseException:
                if response_body is not None and response_body.failed:
                    evidence = Evidence(EvidenceKind.LOST)
                    await self._detect_crash(upstream, evidence, fingerprint)
                raise
        finally:
            slot.release(evidence)

    async def _detect_crash(
        self, upstream: AttachedUpstream, evidence: Evidence, fingerprint: str
    ) -> None:
        """Records a crash for the suspected requests if the upstream crashed.

        Raises:
            RefusedError: The upstream crashed while it ran this request, which
                must not be sent to another instance.
        """
        incarnation = upstream.summary.incarnation
        if evidence.kind is EvidenceKind.UNREACHABLE:
            self._suspects.confirm_crash(incarnation)
        if evidence.kind is not EvidenceKind.LOST:
            return
        self._suspects.add(fingerprint, incarnation)
        if await upstream.reachability.is_open():
            return
        self._suspects.confirm_crash(incarnation)
        raise RefusedError(
            "upstream_crashed",
            "the upstream crashed while it ran the request",
            step="run_request",
            peer=upstream.summary.instance,
            status=502,
            outcome=Outcome.UNKNOWN,
        )

    def _make_ticket(self, request: Request) -> Ticket:
        calling_service = ""
        for name, value in request.headers:
            if name == CALLING_SERVICE_HEADER:
                calling_service = value.decode("latin-1")
        return Ticket(
            request.organisation,
            request.deadline,
            request.may_queue,
            self.criticality.get(request.service, calling_service),
        )

    def _check_fingerprint(self, fingerprint: str) -> None:
        if self.crashes.is_blocked(fingerprint):
            raise RefusedError(
                "suspected_crash",
                "upstreams crashed while they ran this request",
                step="admit",
                retry_after=self.crashes.get_remaining_block(fingerprint)
                + timedelta(seconds=1),
            )

    def _get_upstream(
        self, request: Request, instance: str, incarnation: int
    ) -> AttachedUpstream:
        upstream = self.upstream
        if not self.in_service:
            raise _make_refusal(
                "zone_out_of_service", "the availability zone is out of service"
            )
        if (
            upstream is None
            or upstream.summary.instance != instance
            or upstream.summary.service != request.service
            or upstream.summary.incarnation != incarnation
        ):
            raise _make_refusal("instance_gone", "the chosen instance is gone")
        if self._clock.monotonic() >= request.deadline:
            raise RefusedError(
                "deadline_exceeded",
                "the deadline passed before the request was sent",
                step="admit",
                status=504,
            )
        return upstream


def _check_outcome(response: Response, request_body: Body) -> None:
    """Converts an upstream's 503 with outcome `not-run` into a refusal.

    Raises:
        RefusedError: The upstream shed the request without running it.
    """
    if response.status != 503:
        return
    if (OUTCOME_HEADER, b"not-run") in response.headers:
        raise RefusedError(
            "upstream_shed",
            "the upstream refused the request",
            step="run_request",
            may_retry=isinstance(request_body, BytesBody),
        )


def _make_refusal(code: str, detail: str) -> RefusedError:
    return RefusedError(code, detail, step="admit", may_retry=True)
