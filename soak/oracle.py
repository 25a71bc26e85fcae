"""Compares what callers and instances saw with what is promised."""

import math
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence

from soak.records import Fault, Run, SentRequest

# These promise that the request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
_COLD_WINDOW_SECONDS = 1.0
# A reconnection, a takeover of a reader and a change of the configuration
# take up to this long after a fault.
_CONTACT_SECONDS = 3.0
_ANSWER_SLACK_SECONDS = 0.5
_LEFT_SLACK_SECONDS = 0.5


class Oracle:
    """The promises of the platform's pages that the soak can see."""

    def __init__(
        self,
        sent: Sequence[SentRequest],
        runs: Sequence[Run],
        faults: Sequence[Fault],
        deadline: float,
    ) -> None:
        """Takes what was seen.

        Args:
            sent: All requests of callers.
            runs: All runs, in order.
            faults: What the soak caused.
            deadline: Seconds in which callers want their answers.
        """
        self._sent = sent
        self._runs = runs
        self._faults = faults
        self._deadline = deadline
        self._counts = Counter(run.request_id for run in runs)

    def iter_violations(
        self,
        left_at: Mapping[str, float],
        withdrawals: Sequence[tuple[str, float, float]],
        zones: Mapping[str, str],
        cold_bound: float,
    ) -> Iterator[str]:
        """Yields a line for each broken promise.

        Args:
            left_at: When each leaving instance's departure was acknowledged.
            withdrawals: Zones with the times from which, and until which, they
                must get nothing.
            zones: The zone of each host.
            cold_bound: Requests that a cold instance may get in a second.
        """
        yield from self._check_answers()
        yield from self._check_times()
        yield from self._check_left()
        yield from self._check_leaving(left_at)
        yield from self._check_withdrawn(withdrawals, zones)
        yield from self._check_cold(cold_bound)

    def iter_late_exits(
        self, late_exits: Sequence[tuple[str, float]]
    ) -> Iterator[str]:
        """Yields a line for each node that outlived its grace time.

        Args:
            late_exits: Hosts, and when their node was told to stop.
        """
        for host, stopped_at in late_exits:
            if not self._has_fault(stopped_at, stopped_at):
                yield f"GRACE {host}: killed at the end of its grace time"

    def _check_answers(self) -> Iterator[str]:
        known = {request.request_id for request in self._sent}
        for request_id in self._counts.keys() - known:
            yield f"UNASKED {request_id}: ran, but no caller has sent it"
        for request in self._sent:
            ran = self._counts[request.request_id]
            if not request.idempotent and ran > 1:
                yield f"TWICE {request.request_id}: ran {ran} times"
            if request.status in _PROMISES and ran and not request.idempotent:
                yield (
                    f"REFUSED {request.request_id}: {request.status}, but ran"
                )
            if request.status == 200 and (
                request.body != request.request_id.encode()
                or not request.is_signed
            ):
                yield f"MIXED {request.request_id}: got {request.body!r}"
            if request.status == 404 and not (
                request.is_current and self._is_harmed(request)
            ):
                yield f"DENIED {request.request_id}: 404 from {request.host}"

    def _check_times(self) -> Iterator[str]:
        for request in self._sent:
            if request.has_left or self._is_harmed(request):
                continue
            elapsed = request.ended_at - request.sent_at
            if elapsed > self._deadline + _ANSWER_SLACK_SECONDS:
                yield f"LATE {request.request_id}: {elapsed:.2f} s"
            elif request.status == 0 and self._counts[request.request_id]:
                yield f"LOST {request.request_id}: ran, and was cut"

    def _check_left(self) -> Iterator[str]:
        left = {
            request.request_id: request.ended_at
            for request in self._sent
            if request.has_left
        }
        for run in self._runs:
            at = left.get(run.request_id, math.inf)
            late = run.started_at - at
            if late > _LEFT_SLACK_SECONDS and not self._has_fault(
                at, run.started_at
            ):
                yield f"GONE {run.request_id}: {late:.2f} s after its caller"

    def _is_harmed(self, request: SentRequest) -> bool:
        """Returns whether an unplanned fault may have touched a request."""
        return self._has_fault(request.sent_at, request.ended_at)

    def _has_fault(self, start: float, end: float) -> bool:
        return any(
            not fault.is_planned
            and fault.started_at < end
            and start < fault.ended_at + _CONTACT_SECONDS
            for fault in self._faults
        )

    def _check_leaving(self, left_at: Mapping[str, float]) -> Iterator[str]:
        for run in self._runs:
            until = left_at.get(run.instance)
            if until is not None and run.started_at > until:
                late = run.started_at - until
                yield f"DRAIN {run.request_id}: {late:.2f} s too late"

    def _check_withdrawn(
        self,
        withdrawals: Sequence[tuple[str, float, float]],
        zones: Mapping[str, str],
    ) -> Iterator[str]:
        for zone, start, end in withdrawals:
            for run in self._runs:
                at = run.started_at
                if (
                    zones[run.host] == zone
                    and start < at < end
                    and not self._has_fault(at, at)
                ):
                    yield f"EVAC {run.request_id}: ran in zone {zone}"

    def _check_cold(self, bound: float) -> Iterator[str]:
        starts: defaultdict[str, list[float]] = defaultdict(list)
        for run in self._runs:
            if run.is_cold:
                starts[run.instance].append(run.started_at)
        for instance, times in starts.items():
            for index, first in enumerate(times):
                last = bisect_right(times, first + _COLD_WINDOW_SECONDS)
                if last - index > bound:
                    yield f"FAILBACK {instance}: {last - index} in a second"
                    break
