"""Whether this node decides about one order."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.rollout.decider_election import DeciderElection
from rhubarbpaddle.rollout.rollout_order import RolloutOrder
from rhubarbpaddle.rollout.rollout_schedule import RolloutSchedule

# The next node by rendezvous hash replaces the elected one if a phase is
# overdue for this time, as when the elected one is paused or the store rejects
# it.
_TAKEOVER_SECONDS = 1.5
# From this node on the time doubles, so that an outage of the store does not
# make all nodes call it.
_LAST_LINEAR_RANK = 3


class DeciderTakeover:
    """Replaces the elected node if a phase of the roll-out is overdue."""

    def __init__(
        self,
        order: RolloutOrder,
        election: DeciderElection,
        schedule: RolloutSchedule,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Creates the decision for an order.

        Args:
            order: The order.
            election: Elects the deciding node.
            schedule: When the phases of the roll-out are due to end.
            clock: The source of time.
            log: The log for decisions.
        """
        self._order = order
        self._election = election
        self._schedule = schedule
        self._clock = clock
        self._log = log
        self._was_elected = False

    def is_elected(self) -> bool:
        """Returns whether this node decides, or has to replace another one."""
        rank = self._election.get_rank(self._order.service)
        if rank is None:
            return False
        overdue = self._clock.monotonic() - self._schedule.get_due_time()
        return rank == 0 or overdue >= _get_takeover_seconds(rank)

    def log_change(self, is_elected: bool) -> None:
        """Logs the result of `is_elected` if it differs from the last one."""
        if is_elected != self._was_elected:
            self._was_elected = is_elected
            self._log.info(
                "rollout_decider",
                service=self._order.service,
                order=self._order.number,
                elected=is_elected,
            )


def _get_takeover_seconds(rank: int) -> float:
    """Returns after which time a node of a rank replaces those before it."""
    doublings = max(0, rank - _LAST_LINEAR_RANK)
    return _TAKEOVER_SECONDS * min(rank, _LAST_LINEAR_RANK) * 2.0**doublings
