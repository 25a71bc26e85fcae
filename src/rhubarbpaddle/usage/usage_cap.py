"""The usage cap of an organisation with the operators' tolerance."""

from typing import NamedTuple, Self

from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.usage.quota_terms import QuotaTerms

# How the tolerated excess is divided; the rest covers requests that reach their
# instance later than others that got their token at the same time.
#
# Part of the slack that is added to the owner's bucket. A cap of 5 a second
# permits 30 requests in a window, in any order: callers that send two or three
# at once need more than the burst.
_OWNER_SLACK_FRACTION = 0.35
# What a new owner may grant at once, in place of the unknown level of the
# previous owner's bucket. Three tokens admit a clump of requests; with more,
# small caps exceed the slack if owners die one after another.
_START_FRACTION = 0.15
# Part of the tolerated overage that a substitute grants. If the fleet falls
# into three parts, an owner grants the whole rate, and two substitutes this
# part each, until they suspect each other: for 3 s of a window of 5 s.
_SUBSTITUTE_OVERAGE_FRACTION = 0.8
# What a substitute may grant at once, and again in each window. A smaller part
# refuses requests within the cap until a dead owner has been suspected for 1 s.
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
                _SUBSTITUTE_OVERAGE_FRACTION * terms.overage * organisation.rate
                + substitute_slack / window,
            ),
            substitute_capacity=max(1.0, substitute_slack),
        )
