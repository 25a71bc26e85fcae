"""The newest roll-out of each service."""

from collections.abc import Iterable, Mapping

from rhubarbpaddle.rollout.current_rollout import CurrentRollout
from rhubarbpaddle.rollout.observed_order import ObservedOrder
from rhubarbpaddle.rollout.rollout_board import RolloutBoard


class RolloutTable:
    """Joins the orders that this node knows with the phases on the board.

    Attributes:
        orders: The orders in force, by service.
    """

    def __init__(self, board: RolloutBoard) -> None:
        """Creates a table without orders."""
        self._board = board
        self.orders: Mapping[str, ObservedOrder] = {}

    def set_orders(self, orders: Iterable[ObservedOrder]) -> None:
        """Replaces the orders in force."""
        self.orders = {entry.order.service: entry for entry in orders}

    def get_current(self, service: str) -> CurrentRollout | None:
        """Returns the newest roll-out of a service, or None.

        A phase may arrive before the order does.
        """
        entry = self.orders.get(service)
        notice = self._board.get_notice(service)
        if notice is not None and (
            entry is None or notice.order >= entry.order.number
        ):
            return CurrentRollout(
                notice.order, notice.target_version, notice.phase
            )
        if entry is None:
            return None
        order = entry.order
        return CurrentRollout(order.number, order.target_version, None)
