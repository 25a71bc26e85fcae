"""A gateway's choice of versions, without a network."""

import random
from datetime import timedelta

from features.support.platform_world import SERVICE
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    UpstreamState,
    UpstreamSummary,
)
from rhubarbpaddle.rollout.contact_watch import ContactWatch
from rhubarbpaddle.rollout.phase_notice import PhaseNotice
from rhubarbpaddle.rollout.rollout_board import RolloutBoard
from rhubarbpaddle.rollout.rollout_phase import RolloutPhase
from rhubarbpaddle.rollout.rollout_table import RolloutTable
from rhubarbpaddle.rollout.rollout_terms import RolloutTerms
from rhubarbpaddle.rollout.version_gate import VersionGate
from rhubarbpaddle.rollout.version_table import VersionTable


class GateWorld:
    """Feeds a gate with instances and phases; each change is a newer one."""

    def __init__(self) -> None:
        clock = VirtualClock()
        self._changes = 0
        self.has_link = True
        self._members = MemberTable(self._make_member("gateway", None))
        self._versions = VersionTable(self._members, clock, lambda zone: True)
        self._board = RolloutBoard(self._members)
        self.contact = ContactWatch(
            clock, lambda: self.has_link, timedelta(seconds=2.5)
        )
        self.gate = VersionGate(
            RolloutTerms(0.1, 50, timedelta(seconds=5)),
            self._versions,
            RolloutTable(self._board),
            self.contact,
            lambda: True,
            clock,
            random.Random(1),
        )

    def set_instance(self, node_id: str, version: str) -> None:
        """Starts an instance of a version beside a node."""
        self._members.merge(self._make_member(node_id, version))

    def stop_instance(self, node_id: str) -> None:
        """Ends the instance beside a node."""
        self._members.merge(self._make_member(node_id, None))

    def set_phase(self, order: int, target: str, phase: RolloutPhase) -> None:
        """Announces the phase of an order."""
        notice = PhaseNotice(SERVICE, order, phase, target)
        self._board.merge(notice)
        self._versions.record_phase(notice)

    def get_excluded(self) -> set[str]:
        """Returns the nodes that a request must not be sent to."""
        self.gate.record_request(SERVICE)
        return set(self.gate.get_excluded(SERVICE))

    def may_try_target(self) -> bool:
        """Returns whether one of many requests may reach the target."""
        for _ in range(100):
            self.gate.record_request(SERVICE)
        return self.gate.get_canary_excluded(SERVICE) is not None

    def _make_member(self, node_id: str, version: str | None) -> Member:
        self._changes += 1
        upstream = None
        if version is not None:
            upstream = UpstreamSummary(
                SERVICE,
                f"i-{self._changes}",
                self._changes,
                UpstreamState.WARM,
                6,
                version,
            )
        return Member(
            node_id=node_id,
            incarnation=1,
            version=self._changes,
            status=MemberStatus.ALIVE,
            host=node_id,
            availability_zone="a",
            peer_address=f"{node_id}:1",
            admin_address=f"{node_id}:3",
            upstream=upstream,
        )
