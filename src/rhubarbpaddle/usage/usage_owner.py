"""Grants the tokens of the usage caps that this node owns."""

from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.execution.event_log import EventLog
from rhubarbpaddle.usage.fleet_view import FleetView
from rhubarbpaddle.usage.owned_usage import OwnedUsage
from rhubarbpaddle.usage.owner_role import OwnerRole
from rhubarbpaddle.usage.owner_standing import OwnerStanding
from rhubarbpaddle.usage.token_bucket import TokenBucket
from rhubarbpaddle.usage.usage_cap import UsageCap
from rhubarbpaddle.usage.usage_grant import UsageGrant
from rhubarbpaddle.usage.usage_query import UsageQuery

# Tokens for later requests are granted only while the bucket is at least this
# full: those that expire unused must not be missing for other gateways.
_MIN_LEVEL_FOR_EXTRA = 0.5
# For how long a query of another gateway shows that this node is not cut off. A
# link without heartbeats counts as lost after a similar time.
_MAX_REACHED_SECONDS = 1.0
# An organisation is within its cap again after this time without a refusal.
_EXCESS_END_SECONDS = 2.0


class UsageOwner:
    """Grants tokens to gateways by one bucket for each organisation.

    It addresses organisations that send many times their usual demand through
    any number of gateways: one node counts all of their requests.
    """

    def __init__(
        self,
        fleet: FleetView,
        clock: Clock,
        get_cap: Callable[[str], UsageCap | None],
        log: EventLog,
    ) -> None:
        """Creates an owner without buckets.

        Args:
            fleet: Decides which caps this node owns.
            clock: The source of time.
            get_cap: Returns the cap of an organisation, or None without one.
            log: The log of changes.
        """
        self._fleet = fleet
        self._clock = clock
        self._get_cap = get_cap
        self._log = log
        self._usages: dict[str, OwnedUsage] = {}
        self._exceeding: set[str] = set()

    def grant(self, query: UsageQuery) -> UsageGrant:
        """Responds to the query of another node's gateway."""
        return self._grant(query, is_own=False)

    def grant_own(self, query: UsageQuery) -> UsageGrant:
        """Responds to this node's own gateway.

        A node that has just been cut off alone takes its silent predecessors
        for gone. It is a substitute for its own gateway only if another gateway
        has reached it recently: otherwise each such node grants what one
        substitute may.
        """
        return self._grant(query, is_own=True)

    def _grant(self, query: UsageQuery, *, is_own: bool) -> UsageGrant:
        now = self._clock.monotonic()
        cap = self._get_cap(query.organisation)
        standing = self._fleet.get_standing(query.organisation)
        if cap is None:
            # The gateway has a configuration in which there is a cap.
            return UsageGrant(OwnerRole.OWNER, query.needed)
        if standing.role is OwnerRole.NONE:
            return UsageGrant(OwnerRole.NONE)
        usage = self._usages.get(query.organisation)
        if usage is None:
            usage = self._usages[query.organisation] = OwnedUsage(now)
        if not is_own:
            usage.reached_at = now
        elif standing.role is OwnerRole.SUBSTITUTE and (
            usage.reached_at is None
            or now - usage.reached_at > _MAX_REACHED_SECONDS
        ):
            return UsageGrant(OwnerRole.NONE)
        granted = 0
        if standing.role is OwnerRole.OWNER:
            bucket = self._refill_bucket(usage, cap, standing, query, now)
            bucket.put_back(query.returned)
            min_level = _MIN_LEVEL_FOR_EXTRA * bucket.capacity
            if bucket.level - query.needed - query.extra >= min_level:
                granted = bucket.take(query.extra)
        else:
            bucket = self._refill_substitute_bucket(usage, cap, now)
        granted += bucket.take(query.needed)
        usage.demand.add(granted + query.refused - query.returned, now)
        if granted < query.needed and standing.role is OwnerRole.OWNER:
            self._record_refusal(query.organisation, usage, cap, now)
        return UsageGrant(
            standing.role,
            granted,
            bucket.get_wait(),
            usage.demand.get(now) / cap.rate,
        )

    def log_returns_to_cap(self) -> None:
        """Logs which organisations have been within their cap for a time."""
        oldest = self._clock.monotonic() - _EXCESS_END_SECONDS
        for name in tuple(self._exceeding):
            usage = self._usages[name]
            if usage.refused_at is None or usage.refused_at < oldest:
                self._exceeding.remove(name)
                usage.refused_at = None
                self._log.info("usage_within_cap", organisation=name)

    def _refill_bucket(
        self,
        usage: OwnedUsage,
        cap: UsageCap,
        standing: OwnerStanding,
        query: UsageQuery,
        now: float,
    ) -> TokenBucket:
        rate = standing.share * cap.rate
        # Several nodes may be owners during a partition, each with its bucket.
        capacity = max(1.0, standing.share * cap.capacity)
        start_level = min(capacity, cap.start_level)
        bucket = usage.bucket
        if bucket is None:
            bucket = usage.bucket = TokenBucket(
                start_level, rate, capacity, standing.since
            )
            self._log_start(query.organisation, standing)
        elif bucket.started_at < standing.since:
            bucket.restart(start_level, standing.since)
            self._log_start(query.organisation, standing)
        bucket.refill(now, rate, capacity)
        if query.other_owner_age is not None:
            # Another node granted the whole rate up to then.
            since = now - query.other_owner_age
            if since > bucket.started_at:
                bucket.limit_level(start_level + query.other_owner_age * rate)
        return bucket

    def _refill_substitute_bucket(
        self, usage: OwnedUsage, cap: UsageCap, now: float
    ) -> TokenBucket:
        rate, capacity = cap.substitute_rate, cap.substitute_capacity
        bucket = usage.substitute_bucket
        if bucket is None:
            bucket = usage.substitute_bucket = TokenBucket(
                capacity, rate, capacity, now
            )
        bucket.refill(now, rate, capacity)
        return bucket

    def _log_start(self, organisation: str, standing: OwnerStanding) -> None:
        self._log.info(
            "usage_owner_started",
            organisation=organisation,
            share=round(standing.share, 3),
        )

    def _record_refusal(
        self, name: str, usage: OwnedUsage, cap: UsageCap, now: float
    ) -> None:
        usage.refused_at = now
        if name not in self._exceeding:
            self._exceeding.add(name)
            self._log.notice(
                "usage_cap_exceeded",
                organisation=name,
                rate=cap.rate,
                demand=round(usage.demand.get(now), 1),
            )
