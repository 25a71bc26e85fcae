"""An order together with the time since which it is known."""

from typing import NamedTuple

from rhubarbpaddle.rollout.rollout_order import RolloutOrder


class ObservedOrder(NamedTuple):
    """An order and its age, which the order itself does not contain.

    Attributes:
        order: The order.
        observed_at: Monotonic seconds, on this node, at which a node first
            read the order.
        is_exact: Whether that node saw the order being written. Otherwise the
            order may be older than it appears.
    """

    order: RolloutOrder
    observed_at: float
    is_exact: bool

    def merge(self, other: "ObservedOrder") -> "ObservedOrder":
        """Returns the better estimate of the same order's age."""
        return max(
            self, other, key=lambda entry: (entry.is_exact, -entry.observed_at)
        )
