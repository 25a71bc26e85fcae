"""The phase of one order, as all nodes know it."""

from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_order import RolloutOrder
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase


class OrderPhase:
    """Reads the phase of an order and announces the next one."""

    def __init__(
        self, order: RolloutOrder, board: RolloutBoard, log: EventLog
    ) -> None:
        """Creates access to the phase of an order.

        Args:
            order: The order.
            board: The phases of all orders.
            log: The log for decisions.
        """
        self._order = order
        self._board = board
        self._log = log

    def get(self) -> RolloutPhase | None:
        """Returns the phase, or None if the roll-out has not begun."""
        return self._board.get_phase(self._order.service, self._order.number)

    def announce(self, phase: RolloutPhase, reason: str) -> None:
        """Makes a phase known to all nodes unless a later one is known.

        Args:
            phase: The phase.
            reason: Why it has been reached, for the log.
        """
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
