"""The proxy for an instance that reports its slots and slowdown factor."""

from collections.abc import AsyncIterator, Callable
from contextlib import ExitStack, asynccontextmanager
from datetime import timedelta

from rhubarbpaddle.admission.ticket import Ticket
from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.organisation_table import (
    NO_ORGANISATIONS,
    OrganisationTable,
)
from rhubarbpaddle.exceptions import RefusedError, RhubarbpaddleError
from rhubarbpaddle.execution.attached_instance import AttachedInstance
from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.body_memory import BodyMemory
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.execution.crash_suspects import CrashSuspects
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.execution.evidence_classification import (
    classify_error,
    classify_failed_body,
    classify_response,
)
from rhubarbpaddle.execution.fingerprint import make_fingerprint
from rhubarbpaddle.execution.held_body import HeldBody
from rhubarbpaddle.execution.observed_body import ObservedBody
from rhubarbpaddle.execution.prefixed_body import PrefixedBody
from rhubarbpaddle.execution.request import Request
from rhubarbpaddle.execution.response import Response
from rhubarbpaddle.execution.response_observer import (
    NO_OBSERVER,
    ResponseObserver,
)
from rhubarbpaddle.execution.route_attempt_history import KEYS_CHANGED_CODE
from rhubarbpaddle.measuring import (
    NO_EVIDENCE,
    Evidence,
    EvidenceKind,
    LoadReport,
)
from rhubarbpaddle.membership import UpstreamState
from rhubarbpaddle.outcome import Outcome

_SERVING_STATES = (UpstreamState.COLD, UpstreamState.WARM)
# Response bodies up to this length are read completely before they are passed
# on, so that a lost connection gives an error response instead of a truncated
# one.
_MAX_BUFFERED_BYTES = 64 * 1024
# A longer body of known length up to this one is read completely if the
# instance has it ready, so that it has no request running while the body is
# paced on the host's link.
_MAX_HELD_BYTES = 256 * 1024
# An instance sends a body of this length over the host's loopback interface
# within a few milliseconds. A body that takes longer is streamed.
_HOLD_SECONDS = 0.02


class InstanceProxy:
    """Admits requests to the instance beside this node and runs them there.

    All requests to the instance pass through this proxy.

    Attributes:
        attached: The instance, or None if none has reported yet.
        in_service: Whether this node's availability zone accepts new requests.
        leaving: Whether this node is shutting down. It then refuses new
            requests and completes those that are queued or running.
        crashes: The crash counts of requests.
        observer: Learns how requests end at the instance.
        get_organisations: Returns the organisations of the configuration in
            force.
    """

    def __init__(
        self,
        clock: Clock,
        crashes: CrashLedger,
        on_instance_gone: Callable[[], None],
        log: EventLog,
    ) -> None:
        """Creates a proxy without an instance.

        Args:
            clock: The source of time.
            crashes: The crash counts of requests.
            on_instance_gone: Called when the instance appears to be gone.
            log: The log for failed requests.
        """
        self._log = log
        self.attached: AttachedInstance | None = None
        self.in_service = True
        self.leaving = False
        self.crashes = crashes
        self.observer: ResponseObserver = NO_OBSERVER
        self.get_organisations: Callable[[], OrganisationTable] = lambda: (
            NO_ORGANISATIONS
        )
        self._suspects = CrashSuspects(crashes, clock)
        self._clock = clock
        self._on_instance_gone = on_instance_gone
        self._response_memory = BodyMemory()

    def attach(self, attached: AttachedInstance) -> None:
        """Replaces the instance that receives requests.

        A new incarnation means that the previous one is gone, so that its
        suspected crash is confirmed.
        """
        previous, self.attached = self.attached, attached
        if (
            previous is not None
            and previous.summary.incarnation != attached.summary.incarnation
        ):
            self._suspects.confirm_crash(previous.summary.incarnation)

    def get_report(self) -> LoadReport | None:
        """Returns the instance's load, or None without an instance."""
        if self.attached is None:
            return None
        return self.attached.admission.get_report()

    @asynccontextmanager
    async def handle(
        self, request: Request, body: Body, instance: str, incarnation: int
    ) -> AsyncIterator[Response]:
        """Runs a request once the instance has capacity for it.

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
        attached = self._get_attached(request, instance, incarnation)
        self._check_fingerprint(fingerprint)
        organisations = self.get_organisations()
        slot = await attached.admission.acquire(_make_ticket(request))
        evidence = NO_EVIDENCE
        try:
            # While the request was queued, the deadline may have passed or the
            # incarnation ended, for example if the process was paused.
            attached = self._get_attached(request, instance, incarnation)
            self._check_keys(request, organisations)
            self._check_reading(attached)
            self._check_fingerprint(fingerprint)
            started = self._clock.monotonic()
            request_body = (
                body if isinstance(body, BytesBody) else ObservedBody(body)
            )
            response_body: ObservedBody | None = None
            passed_on = False
            observation = self.observer.start(attached, request.route)
            try:
                async with attached.client.send(
                    request, request_body
                ) as response:
                    elapsed = self._clock.monotonic() - started
                    evidence = classify_response(
                        response, request_body, elapsed
                    )
                    response_body = ObservedBody(response.body)
                    may_retry = isinstance(body, BytesBody)
                    passed_body = await _buffer_if_short(
                        response_body, may_retry=may_retry
                    )
                    with ExitStack() as held_bodies:
                        passed_body = await self._read_ahead(
                            held_bodies, passed_body, may_retry=may_retry
                        )
                        observation.record_response(
                            response.status, evidence.latency
                        )
                        report = attached.admission.get_report()
                        if _is_in_memory(passed_body):
                            # A slow link or caller must not occupy a slot.
                            slot.release(evidence)
                        passed_on = True
                        yield response._replace(body=passed_body, report=report)
                self.crashes.record_response(fingerprint)
            except BaseException as exc:
                if response_body is not None:
                    if response_body.error is not None:
                        evidence = classify_failed_body(
                            response_body.error, evidence, passed_on=passed_on
                        )
                        observation.record_error(evidence.kind, None)
                        await self._detect_crash(
                            attached, evidence, fingerprint
                        )
                elif isinstance(exc, RefusedError):
                    evidence = classify_error(exc, request_body)
                    elapsed = self._clock.monotonic() - started
                    observation.record_error(
                        evidence.kind,
                        elapsed if isinstance(body, BytesBody) else None,
                    )
                    self._log_failure(request, exc)
                    await self._detect_crash(attached, evidence, fingerprint)
                raise
        finally:
            slot.release(evidence)

    async def _read_ahead(
        self, stack: ExitStack, body: Body, *, may_retry: bool
    ) -> Body:
        """Reads a long body into memory if the instance has it ready.

        Args:
            stack: Holds the memory of the body.
            body: The body.
            may_retry: Whether the body of the request is still in memory.

        Raises:
            RefusedError: The body could not be read; the request has run at
                least in part.
        """
        if not _may_hold(body):
            return body
        held_body = stack.enter_context(
            HeldBody.hold(body, self._response_memory)
        )
        until = self._clock.monotonic() + _HOLD_SECONDS
        try:
            await held_body.read_ahead(_MAX_HELD_BYTES, until, self._clock)
        except RhubarbpaddleError as exc:
            raise _make_lost_refusal(exc, may_retry=may_retry) from exc
        return held_body

    def _log_failure(self, request: Request, exc: RefusedError) -> None:
        self._log.notice(
            "instance_failed",
            request_id=request.request_id,
            service=request.service,
            outcome=exc.outcome,
            error=exc,
        )

    async def _detect_crash(
        self, attached: AttachedInstance, evidence: Evidence, fingerprint: str
    ) -> None:
        """Records a crash for suspected requests if the instance crashed."""
        incarnation = attached.summary.incarnation
        if evidence.kind is EvidenceKind.UNREACHABLE:
            self._suspects.confirm_crash(incarnation)
            self._on_instance_gone()
        if evidence.kind is not EvidenceKind.LOST:
            return
        self._suspects.add(fingerprint, incarnation)
        if await attached.reachability.is_open():
            return
        self._suspects.confirm_crash(incarnation)
        self._on_instance_gone()

    def _check_fingerprint(self, fingerprint: str) -> None:
        if self.crashes.is_blocked(fingerprint):
            raise RefusedError(
                "suspected_crash",
                "instances crashed while they ran this request",
                step="admit_blocked",
                retry_after=self.crashes.get_remaining_block(fingerprint)
                + timedelta(seconds=1),
            )

    def _check_keys(
        self, request: Request, organisations: OrganisationTable
    ) -> None:
        """Refuses a request if its organisation lost a key while it waited.

        Only the gateway knows the key of the request, so that it decides
        whether to send the request again.

        Args:
            request: The request.
            organisations: The organisations when it arrived.
        """
        if self.get_organisations().has_lost_key(
            request.organisation, organisations
        ):
            raise _make_refusal(
                KEYS_CHANGED_CODE, "a key of the organisation was taken away"
            )

    def _check_reading(self, attached: AttachedInstance) -> None:
        reading = attached.monitor.reading
        if attached.monitor.refused:
            self._on_instance_gone()
            raise _make_refusal(
                "instance_down", "the instance refuses connections"
            )
        if (
            reading is not None
            and reading.instance is not None
            and reading.instance != attached.summary.instance
        ):
            self._on_instance_gone()
            raise _make_refusal(
                "instance_gone", "another instance has its address"
            )

    def _get_attached(
        self, request: Request, instance: str, incarnation: int
    ) -> AttachedInstance:
        attached = self.attached
        if not self.in_service:
            raise _make_refusal(
                "zone_out_of_service", "the availability zone is out of service"
            )
        if (
            attached is None
            or attached.summary.state not in _SERVING_STATES
            or attached.summary.instance != instance
            or attached.summary.service != request.service
            or attached.summary.incarnation != incarnation
        ):
            raise _make_refusal("instance_gone", "the chosen instance is gone")
        if self.observer.is_stopped(attached.summary):
            raise _make_refusal(
                "version_stopped", "the instance's version was rolled back"
            )
        if self._clock.monotonic() >= request.deadline:
            raise RefusedError(
                "deadline_exceeded",
                "the deadline passed before the request was sent",
                step="admit_late",
            )
        return attached


def _may_hold(body: Body) -> bool:
    """Returns whether a body is read ahead that is not in memory yet."""
    return (
        not isinstance(body, BytesBody)
        and body.length is not None
        and body.length <= _MAX_HELD_BYTES
    )


def _is_in_memory(body: Body) -> bool:
    return isinstance(body, BytesBody) or (
        isinstance(body, HeldBody) and body.complete
    )


async def _buffer_if_short(body: ObservedBody, *, may_retry: bool) -> Body:
    """Reads a short body into memory and leaves a longer one streamed.

    Args:
        body: The body of the response.
        may_retry: Whether the body of the request is still in memory.

    Raises:
        RefusedError: The body could not be read; the request has run at least
            in part.
    """
    length = body.length
    if length is not None and length > _MAX_BUFFERED_BYTES:
        return body
    content = bytearray()
    try:
        while part := await body.receive():
            content += part
            if len(content) > _MAX_BUFFERED_BYTES:
                return PrefixedBody(bytes(content), body)
    except RhubarbpaddleError as exc:
        raise _make_lost_refusal(exc, may_retry=may_retry) from exc
    return BytesBody(bytes(content))


def _make_lost_refusal(
    exc: RhubarbpaddleError, *, may_retry: bool
) -> RefusedError:
    return RefusedError(
        "upstream_lost",
        f"the response's body failed: {exc.detail}",
        step="run_request",
        peer=exc.peer,
        status=502,
        outcome=Outcome.UNKNOWN,
        may_retry=may_retry,
        may_resend=True,
    )


def _make_ticket(request: Request) -> Ticket:
    return Ticket(
        request.organisation,
        request.deadline,
        request.may_queue,
        priority=request.priority,
        useful_until=request.useful_until,
        route=request.route,
        usage_ratio=request.usage_ratio,
        spillover=request.spillover,
    )


def _make_refusal(code: str, detail: str) -> RefusedError:
    return RefusedError(code, detail, step="admit", may_retry=True)
