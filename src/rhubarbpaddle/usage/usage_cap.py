"""The usage cap of an organisation with the operators' tolerance."""

from typing import NamedTuple, Self

from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.usage.quota_terms import QuotaTerms

# How the tolerated excess is divided; the rest covers requests that reach
# their instance later than others that got their token at the same time. A
# quarter of the slack is added to the owner's bucket, so that a cap that the
# callers keep exactly is not exceeded because requests arrive bunched.
_OWNER_SLACK_FRACTION = 0.25
# What a new owner may grant at once, in place of the unknown level of the
# previous owner's bucket. With demand at 0.6 of the rate, 5 tokens make an
# early refusal unlikely (1 %).
_START_FRACTION = 0.25
# What a substitute may grant at once, and again in each window.
_SUBSTITUTE_SLACK_FRACTION = 0.2


class UsageCap(NamedTuple):
    """The token rates and levels that keep an organisation to its cap.

    Attributes:
        rate: Tokens per second that the owner grants.
        capacity: The most tokens that the owner grants at once.
        start_level: The tokens that a new owner has.
        substitute_rate: Tokens per second that all nodes together grant in
            place of the owner while it can't be reached.
        substitute_capacity: The most tokens that a substitute grants at once.
    """

    rate: float
    capacity: float
    start_level: float
    substitute_rate: float
    substitute_capacity: float

    @classmethod
    def from_config(cls, organisation: Organisation, terms: QuotaTerms) -> Self:
        """Creates the cap of an organisation that has one."""
        window = terms.window.total_seconds()
        excess = (
            terms.overage * (organisation.rate * window + organisation.burst)
            + terms.slack
        )
        capacity = max(
            1.0, organisation.burst + _OWNER_SLACK_FRACTION * terms.slack
        )
        substitute_slack = _SUBSTITUTE_SLACK_FRACTION * terms.slack
        return cls(
            rate=organisation.rate,
            capacity=capacity,
            start_level=min(capacity, _START_FRACTION * excess),
            substitute_rate=min(
                organisation.rate,
                terms.overage * organisation.rate + substitute_slack / window,
            ),
            substitute_capacity=max(1.0, substitute_slack),
        )
