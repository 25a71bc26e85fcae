"""What a gateway knows about an organisation's use of its cap."""

import trio

from rhubarbpaddle.usage.demand_rate import DemandRate
from rhubarbpaddle.usage.owner_role import OwnerRole
from rhubarbpaddle.usage.token_bucket import TokenBucket
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_token import UsageToken

# Unused tokens are dropped after this time, so that those granted before a
# window add little to the requests in it.
_TOKEN_SECONDS = 0.25
# The time for which a gateway asks for tokens in advance. A gateway with less
# than five requests a second asks for each.
_LEASE_SECONDS = 0.2
# How long a gateway refuses without asking. An owner with a small part of the
# fleet names a long wait, which ends early when a partition heals or the cap is
# raised.
_MAX_LOCAL_REFUSAL_SECONDS = 1.0


class UsageAccount:
    """The state of one organisation at a gateway.

    Attributes:
        lock: Held by the task that asks for tokens; those behind it use what it
            gets.
        demand: The requests at this gateway.
        refused: Requests refused here that no owner knows of yet.
        returnable: Unused tokens that the owner should get back.
        allowance: The tokens that this gateway may use while no other node
            responds, or None if it has used none.
    """

    def __init__(self, now: float) -> None:
        self.lock = trio.Lock()
        self.demand = DemandRate(now)
        self.refused = 0
        self.returnable = 0
        self.allowance: TokenBucket | None = None
        self._tokens: list[UsageToken] = []
        self._next_token_at = 0.0
        self._ask_again_at = 0.0
        self._owner_id = ""
        self._owner_granted_at: float | None = None

    def take(self, now: float) -> UsageToken | None:
        """Returns an unused token, or None if there is none."""
        while self._tokens:
            token = self._tokens.pop(0)
            if token.expires_at > now:
                self.returnable = min(self.returnable, len(self._tokens))
                return token
        self.returnable = 0
        return None

    def put_back(self, token: UsageToken, now: float) -> None:
        """Adds a token that was not used."""
        if token.expires_at > now:
            self._tokens.append(token)
            self.returnable += 1

    def take_returnable(self, now: float) -> int:
        """Takes the tokens that the owner should get back."""
        count = sum(self.take(now) is not None for _ in range(self.returnable))
        self.returnable = 0
        return count

    def get_extra(self, now: float) -> int:
        """Returns how many tokens to ask for in advance."""
        return int(self.demand.get(now) * _LEASE_SECONDS)

    def get_wait(self, now: float) -> float:
        """Returns the seconds until the owner has a token; 0 if not known."""
        if now >= self._ask_again_at:
            return 0.0
        return self._next_token_at - now

    def get_other_owner_age(self, node_id: str, now: float) -> float | None:
        """Returns how long ago an owner other than a node granted tokens."""
        if self._owner_granted_at is None or self._owner_id == node_id:
            return None
        return now - self._owner_granted_at

    def apply(self, grant: UsageGrant, node_id: str, now: float) -> None:
        """Stores the tokens of a grant, and when the owner has another one.

        What a substitute says about that is not kept: the owner may be
        reachable again earlier.
        """
        token = UsageToken(now + _TOKEN_SECONDS, grant.usage_ratio)
        self._tokens.extend([token] * grant.granted)
        if grant.role is not OwnerRole.OWNER:
            return
        self._next_token_at = now + grant.wait
        self._ask_again_at = now + min(grant.wait, _MAX_LOCAL_REFUSAL_SECONDS)
        if grant.granted:
            self._owner_id = node_id
            self._owner_granted_at = now
