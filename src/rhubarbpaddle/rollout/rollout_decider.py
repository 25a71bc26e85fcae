"""Accompanies one roll-out to its end."""

from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.rollout.contact_watch import ContactWatch
from rhubarbpaddle.rollout.decider_election import DeciderElection
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_plan import RolloutPlan
from rhubarbpaddle.rollout.rollout_state import RolloutState
from rhubarbpaddle.rollout.rollout_status import RolloutStatus
from rhubarbpaddle.rollout.status_store import StatusStore
from rhubarbpaddle.rollout.verdict import Verdict
from rhubarbpaddle.rollout.version_comparison import VersionComparison
from rhubarbpaddle.rollout.version_counts import VersionCounts
from rhubarbpaddle.rollout.version_table import VersionTable

_STEP_INTERVAL = timedelta(milliseconds=250)
# A node that does not decide compares the versions less often, to save
# processor time.
_OBSERVER_STEPS = 3
# How long a node waits for the first control links before it concludes that it
# is elected.
_FIRST_LINKS = timedelta(milliseconds=300)
# How often the status is read to notice what another node has written.
_STATUS_INTERVAL_SECONDS = 2.0
# How often a node without control links reads the status.
_ISOLATED_INTERVAL_SECONDS = 1.0
_STORE_RETRY = timedelta(milliseconds=500)
# With this many good responses, a version that fails a fifth of its requests is
# found suspicious in 19 of 20 cases.
_PROVEN_RESPONSES = 20
_PROVEN_LATENCIES = 8
# A service with fewer responses than this until the last decision has so few
# requests that the exposure limit holds even if the version is bad.
_MIN_RESPONSES = 8
_MIN_LATENCIES = 4
# A new or restarted node has seen too few responses to end a trial early.
_MIN_TRIAL_SECONDS = 1.5
# The next node by rendezvous hash replaces the elected one if a phase is
# overdue for this time, as when the elected one is paused or the store rejects
# it.
_TAKEOVER_SECONDS = 1.5
# From this node on the time doubles, so that an outage of the store does not
# make all nodes call it.
_LAST_LINEAR_RANK = 3
# After a pause of the process, the versions are compared again first.
_MAX_VERDICT_AGE_SECONDS = 1.0
# A decision is not written if it is older than this, as after a pause of the
# process.
_MAX_DECISION_AGE_SECONDS = 2.5


class RolloutDecider:
    """Decides about one order if this node is elected, and watches otherwise.

    Every node stops the target version on its own evidence. Only the elected
    one, or one that replaces it, promotes it and writes states. It reads the
    status before each write and writes only if nothing was written since, so
    that a terminal state is never replaced and a node that is killed at any
    point can be replaced.
    """

    def __init__(
        self,
        entry: ObservedOrder,
        request_time: timedelta,
        board: RolloutBoard,
        versions: VersionTable,
        election: DeciderElection,
        contact: ContactWatch,
        store: StatusStore,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Creates the decider of an order.

        Args:
            entry: The order.
            request_time: How long requests of the service take at most.
            board: The phases and counts of all nodes.
            versions: The versions of all instances.
            election: Elects the deciding node.
            contact: Whether news of the roll-out reaches this node.
            store: The store of the states.
            clock: The source of time.
            log: The log for decisions.
        """
        self.entry = entry
        self._order = entry.order
        self._request_time = request_time
        self._board = board
        self._versions = versions
        self._election = election
        self._contact = contact
        self._store = store
        self._clock = clock
        self._log = log
        self._comparison = VersionComparison()
        self._plan = self._make_plan(entry.observed_at)
        self._started_at: float | None = None
        self._promoted_at: float | None = None
        self._verdict: Verdict | None = None
        self._compared_at = float("-inf")
        self._phase_seen: RolloutPhase | None = None
        self._phase_seen_at = clock.monotonic()
        self._status_read_at = float("-inf")
        self._was_elected = False

    async def run(self) -> None:
        """Runs until a terminal state is known to be in the store."""
        await self._clock.sleep(_FIRST_LINKS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._compare_versions)
            await self._follow_phases()
            nursery.cancel_scope.cancel()

    async def _compare_versions(self) -> None:
        """Stops a bad version, also while a call to the store is open."""
        steps = 0
        while True:
            phase = self._get_phase()
            if phase is RolloutPhase.PROMOTION and self._promoted_at is None:
                self._begin_promotion()
            is_elected = self._is_elected()
            if phase in (RolloutPhase.TRIAL, RolloutPhase.PROMOTION) and (
                is_elected or steps % _OBSERVER_STEPS == 0
            ):
                self._compare(is_elected)
            steps += 1
            self._contact.has_link()
            await self._clock.sleep(_STEP_INTERVAL)

    async def _follow_phases(self) -> None:
        """Decides and writes while this node is elected."""
        while True:
            phase = self._get_phase()
            if phase is not None and phase.is_terminal:
                return
            self._note_phase(phase)
            is_elected = self._is_elected()
            self._log_election(is_elected)
            try:
                if is_elected:
                    await self._decide()
                else:
                    await self._watch()
            except RhubarbpaddleError as exc:
                self._log.notice(
                    "rollout_store_failed",
                    service=self._order.service,
                    order=self._order.number,
                    error=exc,
                )
                await self._clock.sleep(_STORE_RETRY)
            await self._clock.sleep(_STEP_INTERVAL)

    def cancel_order(self) -> None:
        """Ends the roll-out because operators have deleted its order."""
        self._announce(RolloutPhase.STOPPED, "order_deleted")

    def _note_phase(self, phase: RolloutPhase | None) -> None:
        if phase is not self._phase_seen:
            self._phase_seen = phase
            self._phase_seen_at = self._clock.monotonic()

    def _is_elected(self) -> bool:
        """Returns whether this node decides, or has to replace another one."""
        rank = self._election.get_rank(self._order.service)
        if rank is None:
            return False
        overdue = self._clock.monotonic() - self._get_due_time()
        return rank == 0 or overdue >= _get_takeover_seconds(rank)

    def _get_due_time(self) -> float:
        """Returns when the elected node should have ended the phase."""
        match self._phase_seen:
            case RolloutPhase.TRIAL:
                return max(
                    self._plan.last_decision,
                    self._phase_seen_at + _MIN_TRIAL_SECONDS,
                )
            case RolloutPhase.PROMOTION:
                return self._phase_seen_at + self._plan.promotion_seconds
            case _:
                return self._phase_seen_at

    def _get_phase(self) -> RolloutPhase | None:
        return self._board.get_phase(self._order.service, self._order.number)

    def _make_plan(self, started_at: float) -> RolloutPlan:
        return RolloutPlan.from_order(
            started_at, self._order.duration, self._request_time
        )

    def _log_election(self, is_elected: bool) -> None:
        if is_elected != self._was_elected:
            self._was_elected = is_elected
            self._log.info(
                "rollout_decider",
                service=self._order.service,
                order=self._order.number,
                elected=is_elected,
            )

    def _announce(self, phase: RolloutPhase, reason: str) -> None:
        """Makes a phase known to all nodes."""
        notice = PhaseNotice(
            self._order.service,
            self._order.number,
            phase,
            self._order.target_version,
        )
        if self._board.merge(notice):
            self._log.info(
                "rollout_decided",
                service=notice.service,
                order=notice.order,
                target=notice.target_version,
                phase=phase.name.lower(),
                reason=reason,
            )

    def _get_counts(self) -> tuple[VersionCounts, VersionCounts]:
        """Returns the counts of the target version and of the version in use.

        Instances of a third version are in neither.
        """
        target = self._order.target_version
        used = self._versions.get_used_version(self._order.service, target)
        reports = self._board.get_reports(
            self._order.service, self._order.number
        )
        return (
            VersionCounts.from_reports(
                report for report in reports if report.version == target
            ),
            VersionCounts.from_reports(
                report
                for report in reports
                if report.version != target and used in (None, report.version)
            ),
        )

    def _begin_promotion(self) -> None:
        self._promoted_at = self._clock.monotonic()
        target, _ = self._get_counts()
        self._comparison.start_promotion(target, self._promoted_at)

    def _compare(self, is_elected: bool) -> None:
        """Compares the versions and stops a bad one."""
        now = self._clock.monotonic()
        verdict = self._comparison.evaluate(*self._get_counts(), now)
        self._verdict, self._compared_at = verdict, now
        if verdict.is_bad if is_elected else verdict.is_certainly_bad:
            self._log.notice(
                "rollout_evidence",
                service=self._order.service,
                order=self._order.number,
                kind=verdict.reason,
                log_evidence=round(verdict.log_evidence, 1),
                responses=verdict.responses,
                failures=verdict.failures,
            )
            self._announce(RolloutPhase.STOPPED, verdict.reason)

    async def _decide(self) -> None:
        match self._get_phase():
            case None:
                if self._election.sees_majority():
                    await self._open()
            case RolloutPhase.TRIAL:
                self._decide_trial()
                await self._check_status(_STATUS_INTERVAL_SECONDS)
            case RolloutPhase.PROMOTION:
                await self._decide_promotion()
                await self._check_status(_STATUS_INTERVAL_SECONDS)
            case RolloutPhase.STOPPED:
                await self._write(RolloutState.ROLLED_BACK)

    async def _watch(self) -> None:
        """Reads the status if no neighbour can report the phase."""
        if not self._contact.has_link():
            await self._check_status(_ISOLATED_INTERVAL_SECONDS)

    async def _open(self) -> None:
        """Begins the trial, or resumes what another node has begun."""
        status, end = await self._read()
        if self._adopt(status):
            if self._get_phase() is None:
                await self._clock.sleep(_STORE_RETRY)
            return
        order = self._order
        if self._versions.is_used(order.service, order.target_version):
            self._announce(RolloutPhase.PROMOTION, "version_in_use")
            return
        self._started_at = self._clock.now().timestamp()
        age = self._clock.monotonic() - self.entry.observed_at
        running = RolloutStatus(
            order.service,
            order.target_version,
            RolloutState.RUNNING,
            order.number,
            self._started_at - age,
        )
        if await self._store.write(running, end):
            self._announce(RolloutPhase.TRIAL, "order")

    def _adopt(self, status: RolloutStatus | None) -> bool:
        """Adopts a status of this order, or of a later one.

        Returns:
            Whether there was such a status.
        """
        if status is None or status.order < self._order.number:
            return False
        if status.order > self._order.number:
            # The order that is in force here has been replaced.
            return True
        phase = status.state.get_terminal_phase()
        if phase is not None:
            self._announce(phase, "status")
            return True
        if not self.entry.is_exact and status.started_at is not None:
            age = self._clock.now().timestamp() - status.started_at
            now = self._clock.monotonic()
            self._plan = self._make_plan(min(self.entry.observed_at, now - age))
        if self._get_phase() is None:
            self._announce(RolloutPhase.TRIAL, "status")
        return True

    def _decide_trial(self) -> None:
        now = self._clock.monotonic()
        verdict = self._verdict
        if (
            verdict is None
            or now - self._compared_at > _MAX_VERDICT_AGE_SECONDS
            or now < self._plan.trial_end
            or self._get_phase() is not RolloutPhase.TRIAL
            or not self._election.sees_majority()
        ):
            return
        is_final = now >= max(
            self._plan.last_decision, self._phase_seen_at + _MIN_TRIAL_SECONDS
        )
        is_proven = (
            not verdict.is_suspicious
            and verdict.responses
            >= (_MIN_RESPONSES if is_final else _PROVEN_RESPONSES)
            and verdict.latencies
            >= (_MIN_LATENCIES if is_final else _PROVEN_LATENCIES)
            and self._has_target()
        )
        if is_proven:
            self._announce(RolloutPhase.PROMOTION, "proven")
        elif is_final:
            self._announce(
                RolloutPhase.STOPPED,
                "suspicious" if verdict.is_suspicious else "too_few_responses",
            )

    async def _decide_promotion(self) -> None:
        if self._promoted_at is None:
            return
        now = self._clock.monotonic()
        elapsed = now - self._promoted_at
        if (
            now - self._compared_at > _MAX_VERDICT_AGE_SECONDS
            or elapsed < self._plan.promotion_seconds
            or not self._election.sees_majority()
        ):
            return
        if not self._has_target():
            self._announce(RolloutPhase.STOPPED, "no_instances")
            return
        await self._write(RolloutState.COMPLETED)

    def _has_target(self) -> bool:
        """Returns whether an instance of the target accepts requests."""
        versions = self._versions.get_versions(self._order.service)
        return bool(versions.get_nodes(self._order.target_version))

    async def _write(self, state: RolloutState) -> None:
        """Writes a terminal state unless there is one."""
        phase = self._get_phase()
        decided_at = self._clock.monotonic()
        status, end = await self._read()
        if status is not None and status.order >= self._order.number:
            self._adopt(status)
            if status.state is not RolloutState.RUNNING:
                return
            if status.order > self._order.number:
                return
        age = self._clock.monotonic() - decided_at
        if self._get_phase() is not phase or age > _MAX_DECISION_AGE_SECONDS:
            return
        terminal = RolloutStatus(
            self._order.service,
            self._order.target_version,
            state,
            self._order.number,
            status.started_at if status else self._started_at,
        )
        terminal_phase = state.get_terminal_phase()
        if await self._store.write(terminal, end) and terminal_phase:
            self._announce(terminal_phase, "written")

    async def _check_status(self, interval: float) -> None:
        """Reads the status if it has not been read for a while."""
        if self._clock.monotonic() - self._status_read_at >= interval:
            status, _ = await self._read()
            self._adopt(status)

    async def _read(self) -> tuple[RolloutStatus | None, int]:
        self._status_read_at = self._clock.monotonic()
        result = await self._store.read(self._order.service)
        self._contact.record_store_read()
        return result


def _get_takeover_seconds(rank: int) -> float:
    """Returns after which time a node of a rank replaces those before it."""
    doublings = max(0, rank - _LAST_LINEAR_RANK)
    return _TAKEOVER_SECONDS * min(rank, _LAST_LINEAR_RANK) * 2.0**doublings
