"""Which instances of a service this gateway may use during a roll-out."""

import random
from collections.abc import Callable

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.rollout.contact_watch import ContactWatch
from rhubarbpaddle.rollout.current_rollout import CurrentRollout
from rhubarbpaddle.rollout.exposure_credit import ExposureCredit
from rhubarbpaddle.rollout.instance_version import NO_VERSION
from rhubarbpaddle.rollout.probation_groups import ProbationGroups
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_table import RolloutTable
from rhubarbpaddle.rollout.rollout_terms import RolloutTerms
from rhubarbpaddle.rollout.service_versions import ServiceVersions
from rhubarbpaddle.rollout.version_probation import VersionProbation
from rhubarbpaddle.rollout.version_table import VersionTable

# The part of the permitted share that is used. The rest covers differences
# between the requests that gateways count and those that are counted for the
# limit, such as requests that are cancelled early.
_USED_PART = 0.8
# How long a service may have no instance of a proven version before unproven
# ones are used. After a loss of power all instances have reported again within
# this time.
_FALLBACK_SECONDS = 3.0
# The order number that is used while there is no order.
_NO_ORDER = -1
_NONE: frozenset[str] = frozenset()


class VersionGate:
    """Excludes instances by version; implements `VersionPolicy`.

    Limits what a bad version receives through any attempt: first attempts,
    retries, queueing, and instances that were found by a health check.
    """

    def __init__(
        self,
        terms: RolloutTerms,
        versions: VersionTable,
        rollouts: RolloutTable,
        contact: ContactWatch,
        sees_majority: Callable[[], bool],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Creates a gate.

        Args:
            terms: The limits of roll-outs.
            versions: The versions of all instances.
            rollouts: The newest roll-out of each service.
            contact: Whether news of a roll-out reaches this node.
            sees_majority: Returns whether most nodes are reachable.
            clock: The source of time.
            rng: Determines which requests go to a target version.
        """
        self._share = _USED_PART * terms.exposure_share
        self._has_slack = terms.exposure_slack >= 1
        self._versions = versions
        self._probation = VersionProbation(versions, clock)
        self._rollouts = rollouts
        self._contact = contact
        self._sees_majority = sees_majority
        self._clock = clock
        self._rng = rng
        # The credit and the number of the order that it is for, by service.
        self._credits: dict[str, tuple[int, ExposureCredit]] = {}
        self._without_proven_since: dict[str, float] = {}

    def record_request(self, service: str) -> None:
        """Records a request to a service, which earns credit."""
        rollout = self._rollouts.get_current(service)
        if rollout is None or rollout.has_ended:
            earns = self._get_probation(service, rollout).is_active
        else:
            earns = rollout.phase is None or rollout.is_counting
        if earns:
            self._get_credit(service, rollout).earn()
        else:
            self._credits.pop(service, None)

    def get_excluded(self, service: str) -> frozenset[str]:
        """Returns the nodes that a request must not be sent to."""
        versions = self._versions.get_versions(service)
        rollout = self._rollouts.get_current(service)
        if rollout is None:
            self._without_proven_since.pop(service, None)
            return self._get_unordered(service, versions)
        target = rollout.target_version
        if rollout.phase is None and self._versions.is_used(service, target):
            return self._get_unordered(service, versions)
        if rollout.phase is RolloutPhase.COMPLETED or (
            rollout.phase is RolloutPhase.PROMOTION
            and self._contact.has_contact()
        ):
            self._without_proven_since.pop(service, None)
            if not versions.get_nodes(target):
                return _NONE
            excluded = versions.get_other_nodes(target)
        else:
            excluded = self._get_unproven(service, versions, rollout)
        if rollout.has_ended and excluded:
            excluded -= self._get_probation(service, rollout).released
        return excluded

    def get_canary_excluded(self, service: str) -> frozenset[str] | None:
        """Returns the nodes to exclude to reach an unproven version.

        None if the next request must not be sent there.
        """
        rollout = self._rollouts.get_current(service)
        if rollout is None or rollout.has_ended:
            return self._get_probation_excluded(service, rollout)
        if rollout.phase is not RolloutPhase.TRIAL:
            return None
        versions = self._versions.get_versions(service)
        if (
            not versions.get_nodes(rollout.target_version)
            or not self._get_credit(service, rollout).can_spend()
            or not self._contact.has_contact()
        ):
            return None
        return versions.get_other_nodes(rollout.target_version)

    def record_canary(self, service: str) -> None:
        """Records that a request is sent to an unproven version."""
        rollout = self._rollouts.get_current(service)
        self._get_credit(service, rollout).spend()

    def _get_probation(
        self, service: str, rollout: CurrentRollout | None
    ) -> ProbationGroups:
        """Returns the versions without an order, outside of roll-outs."""
        target = None if rollout is None else rollout.target_version
        if rollout is not None and rollout.phase is RolloutPhase.COMPLETED:
            used = target
        else:
            used = self._versions.get_used_version(service, target)
        return self._probation.get_groups(service, used)

    def _get_probation_excluded(
        self, service: str, rollout: CurrentRollout | None
    ) -> frozenset[str] | None:
        """Returns the nodes to exclude to reach a version without an order.

        None if there is no new version, or its share is used up.
        """
        limited = self._get_probation(service, rollout).limited
        if not limited or not self._get_credit(service, rollout).can_spend():
            return None
        accepting = self._versions.get_versions(service).accepting
        return _NONE.union(*accepting.values()) - limited

    def _get_credit(
        self, service: str, rollout: CurrentRollout | None
    ) -> ExposureCredit:
        order = _NO_ORDER if rollout is None else rollout.order
        number, credit = self._credits.get(service, (None, None))
        if credit is None or number != order:
            credit = ExposureCredit(self._share, self._first_cost())
            self._credits[service] = order, credit
        return credit

    def _first_cost(self) -> float:
        """Returns how much a gateway earns before its first request.

        The slack covers the differences that a random start causes.
        """
        return self._rng.random() if self._has_slack else 1.0

    def _get_unordered(
        self, service: str, versions: ServiceVersions
    ) -> frozenset[str]:
        """Returns the nodes to exclude while there is no order.

        An order that this node does not know yet may name a new version.
        """
        used = self._versions.get_used_version(service, None)
        if used is None or not versions.get_nodes(used):
            return _NONE
        if len(versions.accepting) == 1:
            return _NONE
        excluded = versions.get_other_nodes(used)
        # Nodes of earlier releases don't report a version.
        return excluded.difference(
            versions.get_nodes(NO_VERSION),
            self._probation.get_unreported(service),
            self._probation.get_groups(service, used).released,
        )

    def _get_unproven(
        self,
        service: str,
        versions: ServiceVersions,
        rollout: CurrentRollout,
    ) -> frozenset[str]:
        """Returns the nodes without an instance of the version in use.

        An instance of unknown version may be one of the target version.
        """
        target = rollout.target_version
        used = self._versions.get_used_version(service, target)
        if used is not None and versions.get_nodes(used):
            self._without_proven_since.pop(service, None)
            return versions.get_other_nodes(used)
        now = self._clock.monotonic()
        since = self._without_proven_since.setdefault(service, now)
        if now - since < _FALLBACK_SECONDS:
            return frozenset().union(*versions.accepting.values())
        is_stopped = rollout.phase is not None and rollout.phase.is_stopped
        # A part of a partitioned fleet may reach only the target version.
        if (
            is_stopped
            or not self._contact.has_contact()
            or not self._sees_majority()
        ):
            return versions.get_nodes(target)
        return _NONE
