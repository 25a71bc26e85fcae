"""Checks the guarantees of roll-outs."""

import itertools
from collections.abc import Iterator, Sequence

from soak.records import Run
from soak.rollout_record import FINAL_STATES, RolloutRecord

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_MS = 5000
# A request that was sent before the state was written may arrive later.
_TRANSFER_SECONDS = 0.5


class RolloutOracle:
    """Checks what instances ran during a roll-out, and its states."""

    def __init__(
        self,
        runs: Sequence[Run],
        rollout: RolloutRecord,
        states: Sequence[str],
    ) -> None:
        """Creates an oracle for the records of one run.

        Args:
            runs: All runs, in order of their start.
            rollout: The roll-out.
            states: The states in the store at the end of the run, the oldest
                first.
        """
        self._runs = runs
        self._rollout = rollout
        self._states = states

    def iter_violations(self) -> Iterator[str]:
        """Yields a line for each violation of a guarantee."""
        rollout = self._rollout
        final_states = list(
            itertools.dropwhile(
                lambda state: state not in FINAL_STATES, self._states
            )
        )
        if len(set(final_states)) > 1:
            yield f"FINAL {rollout.target_version}: {' '.join(self._states)}"
        is_rolled_back = final_states[:1] == ["rolled_back"]
        for run in self._runs:
            if run.version != rollout.target_version:
                continue
            if run.started_at < rollout.ordered_at:
                yield f"EARLY {run.request_id}: ran before the order"
            delay = run.started_at - rollout.ended_at
            if is_rolled_back and delay > _TRANSFER_SECONDS:
                yield f"BACK {run.request_id}: ran {delay:.2f} s too late"
        if rollout.is_bad:
            yield from self._check_exposure()

    def _check_exposure(self) -> Iterator[str]:
        rollout = self._rollout
        versions = [
            run.version
            for run in self._runs
            if rollout.ordered_at <= run.started_at <= rollout.deadline
        ]
        exposed = versions.count(rollout.target_version)
        limit = EXPOSURE_SHARE * len(versions) + EXPOSURE_SLACK
        if exposed > limit:
            yield (
                f"EXPOSED {rollout.target_version}: {exposed} of"
                f" {len(versions)} requests, limit {limit:.0f}"
            )
