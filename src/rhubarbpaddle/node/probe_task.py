"""Probes the upstream when there is no recent traffic."""

import secrets
from datetime import timedelta

import msgspec

from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution import BytesBody, Request
from rhubarbpaddle.execution.attached_upstream import AttachedUpstream
from rhubarbpaddle.execution.sidecar import Sidecar
from rhubarbpaddle.measuring import Evidence, EvidenceKind, ProbeBudget
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.node.probe_reading import ProbeReading
from rhubarbpaddle.node.upstream_registry import UpstreamRegistry
from rhubarbpaddle.telemetry import Metrics, get_logger

PROBE_TARGETS = ("/health", "/load")
# No probe is needed if real traffic is at most this old.
_RECENT_SECONDS = 1.0
_PROBE_TIMEOUT_SECONDS = 1.0
_IDLE_DELAY = timedelta(milliseconds=250)
_MAX_READING_BYTES = 4_096

_log = get_logger("probe")


class ProbeTask:
    """Probes, within a budget, the endpoint that was probed least recently.

    A probe takes a slot like a request, so that probes and requests together
    never exceed what the upstream can handle. A probe may reduce the load that
    the upstream gets but never increases it, because reports are delayed and
    health endpoints indicate little about real requests.
    """

    def __init__(
        self,
        sidecar: Sidecar,
        registry: UpstreamRegistry,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._sidecar = sidecar
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._budget: ProbeBudget | None = None
        self._budget_settings: tuple[float, timedelta] | None = None
        self._probed_at = dict.fromkeys(PROBE_TARGETS, float("-inf"))

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            upstream = self._sidecar.upstream
            budget = self._get_budget()
            if upstream is None or budget is None:
                await self._clock.sleep(_IDLE_DELAY)
                continue
            if self._is_unnecessary(upstream) or not budget.try_spend():
                delay = timedelta(seconds=min(60.0, budget.get_delay()))
                await self._clock.sleep(max(_IDLE_DELAY, delay))
                continue
            target = min(PROBE_TARGETS, key=self._probed_at.__getitem__)
            await self._probe(upstream, budget, target)

    def _get_budget(self) -> ProbeBudget | None:
        """Returns the probe budget, or None if there is no service.

        Changed budget settings start a new, empty budget.
        """
        service = self._registry.service
        if service is None:
            return None
        settings = (service.probe_share, service.probe_cost)
        if self._budget is None or settings != self._budget_settings:
            self._budget = ProbeBudget.from_config(service, self._clock)
            self._budget_settings = settings
        return self._budget

    def _is_unnecessary(self, upstream: AttachedUpstream) -> bool:
        state = upstream.summary.state
        if state not in (UpstreamState.COLD, UpstreamState.WARM):
            return True
        return upstream.admission.get_evidence_age() < _RECENT_SECONDS

    async def _probe(
        self, upstream: AttachedUpstream, budget: ProbeBudget, target: str
    ) -> None:
        started = self._clock.monotonic()
        service = upstream.summary.service
        request = Request(
            request_id=secrets.token_hex(8),
            organisation="-",
            service=service,
            method="GET",
            target=target,
            headers=[],
            deadline=started + _PROBE_TIMEOUT_SECONDS,
            idempotent=True,
        )
        ticket = Ticket(request.organisation, request.deadline, may_queue=False)
        try:
            slot = await upstream.admission.acquire(ticket)
        except RefusedError:
            # The upstream is fully loaded; the responses to its requests are
            # better evidence than a probe.
            return
        evidence = Evidence(EvidenceKind.NONE)
        result = "cancelled"
        try:
            evidence, result = await self._send(upstream, request)
        finally:
            slot.release(evidence)
            seconds = self._clock.monotonic() - started
            budget.charge_excess(seconds)
            self._metrics.record_probe(service, target, result, seconds)
        self._probed_at[target] = self._clock.monotonic()

    async def _send(
        self, upstream: AttachedUpstream, request: Request
    ) -> tuple[Evidence, str]:
        """Sends a probe and returns its evidence and its result for metrics.

        A successful probe is no evidence of how fast real requests run.
        """
        try:
            async with upstream.client.send(
                request, BytesBody(b"")
            ) as response:
                content = bytearray()
                while chunk := await response.body.receive():
                    content += chunk[:_MAX_READING_BYTES]
        except RefusedError as exc:
            _log.warn("probe_failed", target=request.target, error=exc)
            if exc.code == "upstream_unreachable":
                return Evidence(EvidenceKind.UNREACHABLE), exc.code
            return Evidence(EvidenceKind.FAILED), exc.code
        except RhubarbpaddleError as exc:
            _log.warn("probe_failed", target=request.target, error=exc)
            return Evidence(EvidenceKind.FAILED), exc.code
        # Any status below 500 shows that the upstream works; a service need not
        # have the endpoint.
        if response.status >= 500:
            return Evidence(EvidenceKind.FAILED), str(response.status)
        if request.target == "/load" and response.status == 200:
            self._read_load(upstream, bytes(content))
        return Evidence(EvidenceKind.NONE), "ok"

    def _read_load(self, upstream: AttachedUpstream, content: bytes) -> None:
        try:
            reading = msgspec.json.decode(content, type=ProbeReading)
        except (msgspec.DecodeError, RecursionError) as exc:
            _log.info("load_not_understood", detail=exc)
            return
        if reading.get("state") == UpstreamState.COLD.value:
            upstream.admission.begin_cold_start()
        self._metrics.record_reported_load(
            upstream.summary.service, reading.get("in_flight", 0)
        )
