"""Checks the keys and the usage caps of organisations."""

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterator, Sequence

from soak.fault_effects import FaultEffects
from soak.key_state import KeyState
from soak.records import Run, SentRequest

QUOTA_WINDOW_SECONDS = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK = 20.0
# An organisation is far below its cap if it sends at most this part of its
# rate, and of that of this time at once. The burst is twice as large, but a
# node that has just become the owner of a cap starts with a part of it.
_FAR_BELOW_SHARE = 0.5
_BURST_SECONDS = 0.5


class OrganisationOracle:
    """Checks what instances and callers observe of organisations."""

    def __init__(
        self,
        sent: Sequence[SentRequest],
        runs: Sequence[Run],
        effects: FaultEffects,
        cap: float,
    ) -> None:
        """Creates an oracle for the records of one run.

        Args:
            sent: All requests of callers.
            runs: All runs, in order of their start.
            effects: The effects of the injected faults.
            cap: The usage cap of each organisation in requests per second; its
                burst is as large.
        """
        self._sent = sent
        self._runs = runs
        self._effects = effects
        self._cap = cap

    def iter_violations(self) -> Iterator[str]:
        """Yields a line for each violation of a guarantee."""
        yield from self._check_runs()
        yield from self._check_known_keys()
        yield from self._check_caps()
        yield from self._check_refusals()

    def _check_runs(self) -> Iterator[str]:
        sent = {request.request_id: request for request in self._sent}
        for run in self._runs:
            if run.has_key:
                yield f"LEAK {run.request_id}: the instance received a key"
            request = sent.get(run.request_id)
            if request is None:
                continue
            if request.key_state is KeyState.KNOWN:
                if run.organisation != request.organisation:
                    yield (
                        f"TENANT {run.request_id}: ran for"
                        f" {run.organisation!r}, not {request.organisation!r}"
                    )
            elif (
                request.key_state is KeyState.UNKNOWN
                or not self._effects.may_be_outdated(request)
            ):
                yield f"KEY {run.request_id}: {request.key_state.value} key ran"

    def _check_known_keys(self) -> Iterator[str]:
        for request in self._sent:
            if (
                request.status == 401
                and request.key_state is KeyState.KNOWN
                and not (
                    request.uses_newest_path
                    and self._effects.may_be_outdated(request)
                )
            ):
                yield f"KEY {request.request_id}: 401 from {request.host}"

    def _check_caps(self) -> Iterator[str]:
        limit = (self._cap * (QUOTA_WINDOW_SECONDS + 1)) * (
            1 + QUOTA_OVERAGE
        ) + QUOTA_SLACK
        starts: defaultdict[str, dict[str, float]] = defaultdict(dict)
        for run in self._runs:
            if run.organisation:
                # An attempt that is repeated belongs to the same request.
                starts[run.organisation].setdefault(
                    run.request_id, run.started_at
                )
        for organisation, times_by_id in starts.items():
            times = list(times_by_id.values())
            highest = max(
                bisect_right(times, start + QUOTA_WINDOW_SECONDS) - index
                for index, start in enumerate(times)
            )
            if highest > limit:
                yield (
                    f"QUOTA {organisation}: {highest} requests in"
                    f" {QUOTA_WINDOW_SECONDS:.0f} s, limit {limit:.0f}"
                )

    def _check_refusals(self) -> Iterator[str]:
        times: defaultdict[str, list[float]] = defaultdict(list)
        for request in self._sent:
            times[request.organisation].append(request.sent_at)
        for sent_at in times.values():
            sent_at.sort()
        for request in self._sent:
            if request.status != 429:
                continue
            window_start = request.sent_at - QUOTA_WINDOW_SECONDS
            sent_at = times[request.organisation]
            start = bisect_left(sent_at, window_start)
            end = bisect_right(sent_at, request.ended_at)
            recent = sent_at[start:end]
            if self._is_far_below(
                recent, request.ended_at
            ) and not self._effects.has_unplanned_fault(
                window_start, request.ended_at
            ):
                yield (
                    f"CAPPED {request.request_id}: 429, but"
                    f" {request.organisation} sent {len(recent)} requests in"
                    f" {QUOTA_WINDOW_SECONDS:.0f} s"
                )

    def _is_far_below(self, sent_at: Sequence[float], now: float) -> bool:
        """Returns whether the demand was low in every window that ends now."""
        return all(
            count
            <= _FAR_BELOW_SHARE * self._cap * (now - start + _BURST_SECONDS)
            for count, start in enumerate(reversed(sent_at), 1)
        )
