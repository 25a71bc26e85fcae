"""Accompanies one roll-out to its end."""

from datetime import timedelta

import trio

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.exceptions import RhubarbpaddleError
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.rollout.contact_watch import ContactWatch
from rhubarbpaddle.rollout.decider_election import DeciderElection
from rhubarbpaddle.rollout.decider_takeover import DeciderTakeover
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.order_evidence import OrderEvidence
from rhubarbpaddle.rollout.order_phase import OrderPhase
from rhubarbpaddle.rollout.order_status import OrderStatus
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_schedule import RolloutSchedule
from rhubarbpaddle.rollout.rollout_state import RolloutState
from rhubarbpaddle.rollout.status_store import StatusStore
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


class RolloutDecider:
    """Decides about one order if this node is elected, and watches otherwise.

    Every node stops the target version on its own evidence. Only the elected
    one, or one that replaces it, promotes it and writes states.
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
        self._versions = versions
        self._election = election
        self._contact = contact
        self._clock = clock
        self._log = log
        self._phase = OrderPhase(entry.order, board, log)
        self._evidence = OrderEvidence(entry.order, board, versions, clock)
        self._schedule = RolloutSchedule(
            entry.observed_at, entry.order.duration, request_time, clock
        )
        self._takeover = DeciderTakeover(
            entry.order, election, self._schedule, clock, log
        )
        self._status = OrderStatus(
            entry, self._phase, self._schedule, contact, store, clock
        )
        self._promoted_at: float | None = None

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
            phase = self._phase.get()
            if phase is RolloutPhase.PROMOTION and self._promoted_at is None:
                self._promoted_at = self._clock.monotonic()
                self._evidence.start_promotion(self._promoted_at)
            is_elected = self._takeover.is_elected()
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
            phase = self._phase.get()
            if phase is not None and phase.is_terminal:
                return
            self._schedule.record_phase(phase)
            is_elected = self._takeover.is_elected()
            self._takeover.log_change(is_elected)
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
        self._phase.announce(RolloutPhase.STOPPED, "order_deleted")

    def _compare(self, is_elected: bool) -> None:
        """Compares the versions and stops a bad one."""
        verdict = self._evidence.compare()
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
            self._phase.announce(RolloutPhase.STOPPED, verdict.reason)

    async def _decide(self) -> None:
        match self._phase.get():
            case None:
                if self._election.sees_majority():
                    await self._open()
            case RolloutPhase.TRIAL:
                self._decide_trial()
                await self._status.check(_STATUS_INTERVAL_SECONDS)
            case RolloutPhase.PROMOTION:
                await self._decide_promotion()
                await self._status.check(_STATUS_INTERVAL_SECONDS)
            case RolloutPhase.STOPPED:
                await self._status.write_terminal(RolloutState.ROLLED_BACK)

    async def _watch(self) -> None:
        """Reads the status if no neighbour can report the phase."""
        if not self._contact.has_link():
            await self._status.check(_ISOLATED_INTERVAL_SECONDS)

    async def _open(self) -> None:
        """Begins the trial, or resumes what another node has begun."""
        has_status, end = await self._status.read()
        if has_status:
            if self._phase.get() is None:
                await self._clock.sleep(_STORE_RETRY)
            return
        if self._versions.is_used(
            self._order.service, self._order.target_version
        ):
            self._phase.announce(RolloutPhase.PROMOTION, "version_in_use")
            return
        await self._status.write_running(end)

    def _decide_trial(self) -> None:
        now = self._clock.monotonic()
        verdict = self._evidence.get_recent_verdict(now)
        if (
            verdict is None
            or now < self._schedule.plan.trial_end
            or self._phase.get() is not RolloutPhase.TRIAL
            or not self._election.sees_majority()
        ):
            return
        is_final = now >= self._schedule.get_last_decision()
        if self._evidence.is_proven(verdict, is_final):
            self._phase.announce(RolloutPhase.PROMOTION, "proven")
        elif is_final:
            self._phase.announce(
                RolloutPhase.STOPPED,
                "suspicious" if verdict.is_suspicious else "too_few_responses",
            )

    async def _decide_promotion(self) -> None:
        if self._promoted_at is None:
            return
        now = self._clock.monotonic()
        elapsed = now - self._promoted_at
        verdict = self._evidence.get_recent_verdict(now)
        if (
            verdict is None
            or elapsed < self._schedule.plan.promotion_seconds
            or not self._election.sees_majority()
        ):
            return
        if verdict.is_suspicious:
            # A node that has just been elected has not stopped a bad version
            # yet, and the evidence may not suffice to stop one earlier.
            self._phase.announce(RolloutPhase.STOPPED, verdict.reason)
            return
        if not self._evidence.has_target():
            self._phase.announce(RolloutPhase.STOPPED, "no_instances")
            return
        await self._status.write_terminal(RolloutState.COMPLETED)
