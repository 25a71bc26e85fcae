"""What a node knows about an organisation as the owner of its cap."""

from rhubarbpaddle.usage.demand_rate import DemandRate
from rhubarbpaddle.usage.token_bucket import TokenBucket


class OwnedUsage:
    """The state of one organisation at the owner of its cap.

    Attributes:
        demand: The requests of all gateways that asked this node.
        bucket: The tokens that this node grants as the owner, or None if it has
            not been the owner.
        substitute_bucket: The tokens that it grants in place of the owner, or
            None if it has granted none.
        reached_at: Monotonic seconds of the last query of another gateway, or
            None if there was none.
        refused_at: Monotonic seconds of the last refusal, or None if the
            organisation is within its cap.
    """

    def __init__(self, now: float) -> None:
        self.demand = DemandRate(now)
        self.bucket: TokenBucket | None = None
        self.substitute_bucket: TokenBucket | None = None
        self.reached_at: float | None = None
        self.refused_at: float | None = None
