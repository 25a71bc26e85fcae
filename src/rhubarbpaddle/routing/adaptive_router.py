"""Routing by requests in flight, load reports, latency and zone distance."""

import random
from collections.abc import Collection

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.configuration import Configuration
from rhubarbpaddle.measuring import LoadReport
from rhubarbpaddle.membership import Member, MemberTable
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_load import InstanceLoad
from rhubarbpaddle.routing.rendezvous import get_weight
from rhubarbpaddle.routing.service_index import ServiceIndex
from rhubarbpaddle.routing.service_state import ServiceState
from rhubarbpaddle.routing.zone_ramp import ZoneRamp

# Maximum number of a service's instances that a gateway uses. It bounds the
# gateway's connections and state, however many instances there are.
MAX_SUBSET_SIZE = 24
# Up to this number of instances, all are scored; of more, two random ones.
_MAX_FULLY_SCORED = 8
_DEFAULT_LATENCY = 0.005
# Refusals after which an instance is avoided immediately, and for how long:
# about the time within which the member table reflects the change.
_AVOIDED_CODES = frozenset(
    {
        "instance_gone",
        "node_leaving",
        "peer_lost",
        "peer_unreachable",
        "upstream_leaving",
        "upstream_unreachable",
        "zone_out_of_service",
    }
)
_AVOID_SECONDS = 1.0
# With an initial weight of a tenth, this adds to the score of a returning zone
# as much as 1.8 more requests per slot would.
_RAMP_PENALTY = 0.2
_FULL_CODE = "no_free_slot"


class AdaptiveRouter:
    """Chooses the instance with the lowest expected latency."""

    def __init__(
        self, table: MemberTable, rng: random.Random, clock: Clock
    ) -> None:
        self._table = table
        self._index = ServiceIndex(table)
        self._rng = rng
        self._clock = clock
        self._ramp = ZoneRamp()
        self._services: dict[str, ServiceState] = {}
        self._loads: dict[str, InstanceLoad] = {}
        self._rendezvous_weights: dict[str, int] = {}

    def observe_configuration(self, cfg: Configuration) -> None:
        """Records which zones return to service in a new configuration.

        It is called for each configuration, so that a return is noticed while
        there are no requests.
        """
        self._ramp.observe(cfg, self._clock.monotonic())

    def choose(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns the instance for the next attempt, or None."""
        now = self._clock.monotonic()
        state = self._get_state(cfg, service, now)
        available = [
            load
            for load in state.pool
            if load.candidate.node_id not in excluded
        ]
        # An avoided instance is better than none.
        eligible = [
            load
            for load in available
            if load.health.is_eligible(load.in_flight, now)
        ] or available
        if not eligible:
            return None
        if len(eligible) > _MAX_FULLY_SCORED:
            eligible = self._sample(eligible, now)
        median_latency = state.get_median(now) or _DEFAULT_LATENCY
        # All instances share one random draw. With a draw for each, a zone with
        # many instances would get more requests than its weight allows.
        draw = self._rng.random()
        best = min(
            eligible,
            key=lambda load: (
                self._score(state, load, median_latency, draw, now),
                self._rng.random(),
            ),
        )
        return best.candidate

    def has_other(
        self, cfg: Configuration, service: str, excluded: Collection[str]
    ) -> bool:
        """Returns whether there is another instance that is not avoided."""
        now = self._clock.monotonic()
        return any(
            load.health.is_eligible(load.in_flight, now)
            for load in self._get_state(cfg, service, now).pool
            if load.candidate.node_id not in excluded
        )

    def get_tracked_count(self) -> int:
        """Returns the number of instances that the router holds state for."""
        return len(self._loads)

    def record_start(self, candidate: Candidate) -> None:
        """Records that a request was sent to the candidate."""
        load = self._get_load(candidate)
        if load is not None:
            load.in_flight += 1

    def record_end(
        self,
        candidate: Candidate,
        latency: float | None,
        succeeded: bool,
        report: LoadReport | None,
        code: str = "",
    ) -> None:
        """Records the end of a request."""
        load = self._get_load(candidate)
        if load is None:
            return
        now = self._clock.monotonic()
        state = self._services[candidate.service]
        if report is not None:
            load.observe_report(report, now)
            state.observe_others_in_flight(
                load.others_in_flight / max(1, report.limit)
            )
        load.in_flight -= 1
        if code in _AVOIDED_CODES:
            load.health.avoid(_AVOID_SECONDS, now)
        elif latency is not None:
            self._observe(state, load, latency, succeeded, code)

    def _observe(
        self,
        state: ServiceState,
        load: InstanceLoad,
        latency: float,
        succeeded: bool,
        code: str,
    ) -> None:
        now = self._clock.monotonic()
        zone = load.candidate.availability_zone
        if code == _FULL_CODE:
            state.round_trips.observe_refusal(zone, latency, now)
            return
        if succeeded:
            state.round_trips.observe_response(zone, latency, now)
        upstream_latency = max(0.0, latency - state.round_trips.get(zone))
        load.health.observe_response(
            upstream_latency, succeeded, state.get_median(now), now
        )

    def _get_load(self, candidate: Candidate) -> InstanceLoad | None:
        load = self._loads.get(candidate.node_id)
        if load is None or not _is_same_incarnation(load.candidate, candidate):
            return None
        return load

    def _score(
        self,
        state: ServiceState,
        load: InstanceLoad,
        median_latency: float,
        draw: float,
        now: float,
    ) -> float:
        """Returns the expected latency as a multiple of the median latency."""
        zone = load.candidate.availability_zone
        in_flight = load.estimate_in_flight(
            state.mean_others_in_flight, median_latency, now
        )
        limit = load.get_limit(now)
        latency_ratio = load.health.get_latency_ratio(median_latency)
        round_trip = state.round_trips.get(zone) / median_latency
        # A returning zone gets a growing fraction of its usual requests. For
        # its other requests, the ramp adds a penalty rather than excluding the
        # zone, so that it still gets them before long queues form elsewhere.
        weight = self._ramp.get_weight(zone, now)
        penalty = 0.0
        if draw >= weight:
            penalty = _RAMP_PENALTY * (1 / weight - 1)
        return (in_flight + 1) / limit * latency_ratio + round_trip + penalty

    def _sample(
        self, eligible: list[InstanceLoad], now: float
    ) -> list[InstanceLoad]:
        weights = [load.get_limit(now) for load in eligible]
        return self._rng.choices(eligible, weights, k=2)

    def _get_state(
        self, cfg: Configuration, service: str, now: float
    ) -> ServiceState:
        self._ramp.observe(cfg, now)
        state = self._services.get(service)
        if state is None:
            state = ServiceState(self._table.own.availability_zone)
            self._services[service] = state
        key = (cfg.availability_zones, self._index.get_version(service))
        if (
            state.pool_key is None
            or state.pool_key[0] is not key[0]
            or state.pool_key[1] != key[1]
        ):
            state.pool_key = key
            state.pool = self._make_pool(cfg, service)
        return state

    def _make_pool(
        self, cfg: Configuration, service: str
    ) -> list[InstanceLoad]:
        own_zone = self._table.own.availability_zone
        members = [
            member
            for member in self._index.get_members(service)
            if cfg.is_in_service(member.availability_zone)
        ]
        members.sort(
            key=lambda member: (
                member.availability_zone != own_zone,
                -self._get_rendezvous_weight(member.node_id),
            )
        )
        pool = [
            self._update_load(member) for member in members[:MAX_SUBSET_SIZE]
        ]
        self._drop_removed(service)
        return pool

    def _drop_removed(self, service: str) -> None:
        """Drops the state of members that have left the service."""
        member_ids = {m.node_id for m in self._index.get_members(service)}
        removed = [
            node_id
            for node_id, load in self._loads.items()
            if load.candidate.service == service
            and node_id not in member_ids
            and load.in_flight == 0
        ]
        for node_id in removed:
            del self._loads[node_id]
            self._rendezvous_weights.pop(node_id, None)

    def _get_rendezvous_weight(self, node_id: str) -> int:
        weight = self._rendezvous_weights.get(node_id)
        if weight is None:
            weight = get_weight(self._table.own.node_id, node_id)
            self._rendezvous_weights[node_id] = weight
        return weight

    def _update_load(self, member: Member) -> InstanceLoad:
        assert member.upstream is not None
        candidate = Candidate.from_member(member)
        load = self._loads.get(member.node_id)
        if load is None or not _is_same_incarnation(load.candidate, candidate):
            load = InstanceLoad(candidate, member.upstream)
            self._loads[member.node_id] = load
        else:
            load.update(candidate, member.upstream)
        return load


def _is_same_incarnation(first: Candidate, second: Candidate) -> bool:
    return (first.service, first.instance, first.incarnation) == (
        second.service,
        second.instance,
        second.incarnation,
    )
