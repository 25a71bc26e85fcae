"""Decides which requests leave their availability zone.

Addresses a surge in one zone: its callers send several times as many requests
as its instances can serve while the instances of other zones have free slots.
"""

import random
from collections.abc import Collection, Iterable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.instance_router import InstanceRouter
from rhubarbpaddle.routing.reported_wait import ReportedWait
from rhubarbpaddle.routing.service_spillover import ServiceSpillover
from rhubarbpaddle.routing.spillover_margin import compute_margin
from rhubarbpaddle.routing.spillover_reason import SpilloverReason
from rhubarbpaddle.routing.spillover_terms import SpilloverTerms
from rhubarbpaddle.routing.transfer_sizes import TransferSizes

# Instances of other zones that may refuse a request before it is queued.
_MAX_SPARE_INSTANCES = 2


class ZoneSpillover:
    """Compares the expected waits of the own zone with those of others.

    All state is in memory and is learned from this gateway's own attempts. It
    decays within seconds, so that a gateway that knows nothing keeps requests
    in their zone until instances there have refused them.

    Attributes:
        sizes: The bytes that requests transfer, by route.
    """

    def __init__(
        self, router: InstanceRouter, clock: Clock, rng: random.Random
    ) -> None:
        """Creates the state of a gateway that has sent no request.

        Args:
            router: Ranks the instances.
            clock: The source of time.
            rng: Selects the requests that leave their zone first.
        """
        self.sizes = TransferSizes()
        self._router = router
        self._clock = clock
        self._rng = rng
        self._services: dict[str, ServiceSpillover] = {}

    def get_share(self, service: str) -> float:
        """Returns the share of requests that go to other zones first."""
        state = self._services.get(service)
        return state.share.get(self._clock.monotonic()) if state else 0.0

    def classify(
        self, candidate: Candidate, reason: SpilloverReason
    ) -> SpilloverReason:
        """Returns why a request goes to an instance.

        Args:
            candidate: The instance.
            reason: The reason if it is in another zone although the own zone
                has instances.
        """
        if self._router.is_local(candidate):
            return SpilloverReason.OWN_ZONE
        if not self._router.has_local_instance(candidate.service):
            return SpilloverReason.NO_INSTANCE
        return reason

    def may_try_spare(self, waits: Iterable[ReportedWait]) -> bool:
        """Returns whether more instances of other zones are tried.

        Args:
            waits: The waits at the instances that refused the request.
        """
        refused = sum(not self._is_own(wait) for wait in waits)
        return refused < _MAX_SPARE_INSTANCES

    def is_full(self, candidate: Candidate) -> bool:
        """Returns whether an instance's zone probably refuses a request."""
        state = self._services.get(candidate.service)
        if state is None:
            return False
        room = state.get_room(candidate.availability_zone)
        return room.is_full(self._clock.monotonic())

    def choose_first(
        self, terms: SpilloverTerms, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns an instance of another zone for a request's first attempt.

        Args:
            terms: The request.
            excluded: Node ids that must not be chosen.

        Returns:
            None if the request goes to its own zone first.
        """
        share = self.get_share(terms.service)
        if not share or self._rng.random() >= share:
            return None
        room = self._services[terms.service].get_room(self._router.own_zone)
        own_wait = room.get_wait(self._clock.monotonic())
        return self._choose_spare(terms, excluded, own_wait)

    def choose_after_refusals(
        self,
        terms: SpilloverTerms,
        excluded: Collection[str],
        waits: Collection[ReportedWait],
    ) -> Candidate | None:
        """Returns an instance of another zone if leaving the own zone pays.

        Args:
            terms: The request.
            excluded: Node ids that must not be chosen.
            waits: The waits at the instances that refused the request.
        """
        own_waits = [wait.seconds for wait in waits if self._is_own(wait)]
        state = self._services.get(terms.service)
        if state is None or not own_waits:
            return None
        if len(own_waits) == len(waits):
            now = self._clock.monotonic()
            is_short = min(own_waits) > self._compute_margin(terms, now)
            state.share.observe_own_zone(is_short, now)
        return self._choose_spare(terms, excluded, min(own_waits))

    def choose_spare(
        self, service: str, excluded: Collection[str]
    ) -> Candidate | None:
        """Returns an instance of another zone that probably has room.

        Args:
            service: The service that the request is for.
            excluded: Node ids that must not be chosen.
        """
        state = self._services.get(service)
        now = self._clock.monotonic()
        zones = {
            zone
            for zone in self._router.get_other_zones(service)
            if state is None or not state.get_room(zone).is_full(now)
        }
        return self._router.choose_spare(service, zones, excluded)

    def choose_queue(
        self,
        terms: SpilloverTerms,
        waits: Iterable[ReportedWait],
        unasked: Candidate | None,
    ) -> Candidate | None:
        """Returns the instance at which a request's expected wait is shortest.

        Args:
            terms: The request.
            waits: The waits at the instances that may queue the request.
            unasked: An instance that has not refused it, if there is one; of
                the own zone if that has instances.
        """
        state = self._services.get(terms.service)
        if state is None:
            return unasked
        now = self._clock.monotonic()
        margin = self._compute_margin(terms, now)
        costs = []
        if unasked is not None:
            # The first of equal costs is chosen.
            room = state.get_room(unasked.availability_zone)
            costs.append((room.get_wait(now), unasked))
        has_local = self._router.has_local_instance(terms.service)
        for wait in waits:
            zone = wait.candidate.availability_zone
            if not has_local or self._is_own(wait):
                costs.append((wait.seconds, wait.candidate))
            elif not wait.queued:
                # The instance admits no request of another zone to its queue
                # while one of its own zone is there.
                seconds = wait.seconds + state.round_trips.get(zone) + margin
                costs.append((seconds, wait.candidate))
        return min(costs, key=lambda cost: cost[0])[1] if costs else None

    def observe_accepted(self, candidate: Candidate) -> None:
        """Records that an instance served a request without queueing it."""
        state = self._services.get(candidate.service)
        if state is None:
            return
        now = self._clock.monotonic()
        zone = candidate.availability_zone
        state.get_room(zone).observe(False, 0.0, now)
        if self._router.is_local(candidate):
            state.share.observe_own_zone(False, now)

    def observe_full(self, wait: ReportedWait, trip_seconds: float) -> None:
        """Records that an instance had no room for a request.

        Args:
            wait: The wait in its queue.
            trip_seconds: The time until the refusal arrived.
        """
        service = wait.candidate.service
        zone = wait.candidate.availability_zone
        state = self._services.get(service)
        if state is None:
            state = ServiceSpillover(self._router.own_zone)
            self._services[service] = state
        now = self._clock.monotonic()
        state.get_room(zone).observe(wait.queued > 0, wait.seconds, now)
        state.round_trips.observe_refusal(zone, trip_seconds, now)
        if not self._is_own(wait):
            state.share.observe_other_zone_refusal(now)

    def observe_closed(self, candidate: Candidate) -> None:
        """Records that an instance's zone is unreachable or out of service."""
        state = self._services.get(candidate.service)
        zone = candidate.availability_zone
        if state is not None and not self._router.is_local(candidate):
            now = self._clock.monotonic()
            state.get_room(zone).observe_closed(now)
            state.share.observe_other_zone_refusal(now)

    def _choose_spare(
        self,
        terms: SpilloverTerms,
        excluded: Collection[str],
        own_wait: float,
    ) -> Candidate | None:
        state = self._services[terms.service]
        now = self._clock.monotonic()
        gain = own_wait - self._compute_margin(terms, now)
        if gain <= 0:
            return None
        zones = {
            zone
            for zone in self._router.get_other_zones(terms.service)
            if state.round_trips.get(zone) < gain
            and not state.get_room(zone).is_full(now)
        }
        return self._router.choose_spare(terms.service, zones, excluded)

    def _compute_margin(self, terms: SpilloverTerms, now: float) -> float:
        transfer_bytes = self.sizes.get(terms.route)
        return compute_margin(terms.useful_until - now, transfer_bytes)

    def _is_own(self, wait: ReportedWait) -> bool:
        return self._router.is_local(wait.candidate)
