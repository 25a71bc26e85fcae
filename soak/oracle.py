"""Checks the records of callers and instances against the guarantees."""

import math
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterator, Mapping, Sequence

from soak.fault_effects import FaultEffects
from soak.large_content import make_content
from soak.records import Run, SentRequest

# A response with one of these guarantees that the request has not run and never
# will.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
_COLD_WINDOW_SECONDS = 1.0
_RESPONSE_SLACK_SECONDS = 0.5
_DISCONNECT_SLACK_SECONDS = 0.5


class Oracle:
    """Checks the guarantees of the platform that the soak test can observe."""

    def __init__(
        self,
        sent: Sequence[SentRequest],
        runs: Sequence[Run],
        effects: FaultEffects,
        deadline: float,
    ) -> None:
        """Creates an oracle for the records of one run.

        Args:
            sent: All requests of callers.
            runs: All runs, in order of their start.
            effects: The effects of the injected faults.
            deadline: The time limit of each request, in seconds.
        """
        self._sent = sent
        self._runs = runs
        self._effects = effects
        self._deadline = deadline
        self._run_counts = Counter(run.request_id for run in runs)

    def iter_violations(
        self,
        drain_deadlines: Mapping[str, float],
        withdrawals: Sequence[tuple[str, float, float]],
        host_zones: Mapping[str, str],
        max_cold_per_second: float,
    ) -> Iterator[str]:
        """Yields a line for each violation of a guarantee.

        Args:
            drain_deadlines: When each leaving instance must have started its
                last request, by instance id.
            withdrawals: Zones, and the start and end of the time in which they
                must receive no requests.
            host_zones: The availability zone of each host.
            max_cold_per_second: The number of requests that a cold instance may
                receive in one second.
        """
        yield from self._check_responses()
        yield from self._check_completion()
        yield from self._check_abandoned()
        yield from self._check_drained(drain_deadlines)
        yield from self._check_withdrawn(withdrawals, host_zones)
        yield from self._check_cold(max_cold_per_second)

    def iter_late_exits(
        self, late_exits: Sequence[tuple[str, float]]
    ) -> Iterator[str]:
        """Yields a line for each node that exceeded its grace period.

        Args:
            late_exits: Hosts, and when their node received SIGTERM.
        """
        for host, stopped_at in late_exits:
            if not self._effects.has_unplanned_fault(stopped_at, stopped_at):
                yield f"GRACE {host}: killed at the end of its grace period"

    def _check_responses(self) -> Iterator[str]:
        sent_ids = {request.request_id for request in self._sent}
        for request_id in self._run_counts.keys() - sent_ids:
            yield f"UNASKED {request_id}: ran, but no caller sent it"
        bodies = {
            request.request_id: request.request_body for request in self._sent
        }
        for run in self._runs:
            if run.body != bodies.get(run.request_id, run.body):
                yield f"UNASKED {run.request_id}: ran with another body"
        for request in self._sent:
            run_count = self._run_counts[request.request_id]
            if not request.idempotent and run_count > 1:
                yield f"TWICE {request.request_id}: ran {run_count} times"
            if (
                request.status in _NOT_RUN_STATUSES
                and run_count
                and not request.idempotent
            ):
                yield (
                    f"REFUSED {request.request_id}: {request.status}, but ran"
                )
            if request.status == 200 and (
                request.body
                != make_content(request.request_id, request.large_length)
                or not request.is_signed
            ):
                yield f"MIXED {request.request_id}: got {request.body[:100]!r}"
            if request.status == 404 and not (
                request.uses_newest_path
                and self._effects.may_be_outdated(request)
            ):
                yield f"DENIED {request.request_id}: 404 from {request.host}"

    def _check_completion(self) -> Iterator[str]:
        for request in self._sent:
            if request.is_abandoned or self._effects.has_unplanned_fault(
                request.sent_at, request.ended_at
            ):
                continue
            elapsed = request.ended_at - request.sent_at
            if elapsed > self._deadline + _RESPONSE_SLACK_SECONDS:
                yield f"LATE {request.request_id}: {elapsed:.2f} s"
            elif request.status == 0 and self._run_counts[request.request_id]:
                yield f"LOST {request.request_id}: ran, but got no response"

    def _check_abandoned(self) -> Iterator[str]:
        disconnected_at = {
            request.request_id: request.ended_at
            for request in self._sent
            if request.is_abandoned
        }
        for run in self._runs:
            disconnect_time = disconnected_at.get(run.request_id, math.inf)
            delay = run.started_at - disconnect_time
            if (
                delay > _DISCONNECT_SLACK_SECONDS
                and not self._effects.has_unplanned_fault(
                    disconnect_time, run.started_at
                )
            ):
                yield (
                    f"GONE {run.request_id}: started {delay:.2f} s after its"
                    " caller disconnected"
                )

    def _check_drained(
        self, drain_deadlines: Mapping[str, float]
    ) -> Iterator[str]:
        for run in self._runs:
            drain_deadline = drain_deadlines.get(run.instance)
            if drain_deadline is not None and run.started_at > drain_deadline:
                delay = run.started_at - drain_deadline
                yield f"DRAIN {run.request_id}: started {delay:.2f} s too late"

    def _check_withdrawn(
        self,
        withdrawals: Sequence[tuple[str, float, float]],
        host_zones: Mapping[str, str],
    ) -> Iterator[str]:
        for zone, start, end in withdrawals:
            for run in self._runs:
                started_at = run.started_at
                if (
                    host_zones[run.host] == zone
                    and start < started_at < end
                    and not self._effects.has_unplanned_fault(
                        started_at, started_at
                    )
                ):
                    yield f"EVAC {run.request_id}: ran in withdrawn zone {zone}"

    def _check_cold(self, max_per_second: float) -> Iterator[str]:
        starts: defaultdict[str, list[float]] = defaultdict(list)
        for run in self._runs:
            if run.is_cold:
                starts[run.instance].append(run.started_at)
        for instance, times in starts.items():
            for index, window_start in enumerate(times):
                end = bisect_right(times, window_start + _COLD_WINDOW_SECONDS)
                if end - index > max_per_second:
                    yield f"FAILBACK {instance}: {end - index} runs in 1 s"
                    break
