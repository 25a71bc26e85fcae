"""Nodes with control links in one process, without a data path."""

import random

import trio

from features.support.host_network import HostNetwork
from features.support.memory_fabric import MemoryFabric
from features.support.virtual_clock import VirtualClock
from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.execution.crash_ledger import CrashLedger
from rhubarbpaddle.membership import (
    Member,
    MemberStatus,
    MemberTable,
    StoreAccessTable,
    Suspicion,
)
from rhubarbpaddle.peer.connector import PeerConnector
from rhubarbpaddle.peer.identity import PeerIdentity
from rhubarbpaddle.peer.listener import PeerListener
from rhubarbpaddle.peer.overlay import Overlay


class FakeConfiguration:
    """Holds a configuration and accepts any newer one."""

    def __init__(self) -> None:
        self.accepted: AcceptedConfiguration | None = None

    def get_accepted(self) -> AcceptedConfiguration | None:
        return self.accepted

    def get_first_era(self) -> int:
        return 0

    def adopt_text(self, version: StateVersion, text: str, as_of: int) -> bool:
        number = version.number
        if self.accepted and self.accepted.version >= number:
            return False
        self.accepted = AcceptedConfiguration.from_text(number, text, as_of)
        return True


class OverlayNode:
    """A node with a member table and control links."""

    def __init__(
        self,
        name: str,
        fabric: MemoryFabric,
        incarnation: int,
        seeds: tuple[str, ...],
        seed: int,
        zone: str = "z0",
    ) -> None:
        own = Member(
            node_id=name,
            incarnation=incarnation,
            version=1,
            status=MemberStatus.ALIVE,
            host=name,
            availability_zone=zone,
            peer_address=f"{name}:2",
            admin_address=f"{name}:3",
            upstream=None,
        )
        clock = VirtualClock()
        self.table = MemberTable(own)
        self.configuration = FakeConfiguration()
        self.network = HostNetwork(fabric, name)
        self.crashes = CrashLedger(name, clock)
        identity = PeerIdentity("test", name, incarnation, b"secret")
        self.overlay = Overlay(
            PeerConnector(self.network, identity),
            self.table,
            Suspicion(self.table, clock),
            self.configuration,
            clock,
            random.Random(f"{seed} {name} {incarnation}"),
            lambda: seeds,
            frozenset,
            self.crashes,
            StoreAccessTable(self.table),
        )
        self.listener = PeerListener(
            identity,
            {"control": self.overlay},
            self.overlay.get_welcome_delay,
        )
        self.scope = trio.CancelScope()

    async def run(self) -> None:
        """Runs until the scope is cancelled."""
        with self.scope:
            async with trio.open_nursery() as nursery:
                address = self.table.own.peer_address
                await nursery.start(
                    self.network.serve, address, self.listener.handle
                )
                nursery.start_soon(self.overlay.run)

    def get_alive(self) -> set[str]:
        """Returns the ids of the nodes that this node sees as alive."""
        return {
            member.node_id
            for member in self.table
            if member.status is MemberStatus.ALIVE
        }

    def has_link_between_zones(self) -> bool:
        """Returns whether a link leads to a node of another zone."""
        own_zone = self.table.own.availability_zone
        peers = (
            self.table.get(link.peer_id) for link in self.overlay.get_links()
        )
        return any(
            peer is not None and peer.availability_zone != own_zone
            for peer in peers
        )


class OverlayGroup:
    """Starts and kills nodes and waits until their member tables agree."""

    def __init__(
        self, nursery: trio.Nursery, seed: int = 1, zone_count: int = 1
    ) -> None:
        self.fabric = MemoryFabric()
        self.nodes: dict[str, OverlayNode] = {}
        self._nursery = nursery
        self._seed = seed
        self._zone_count = zone_count
        self._incarnation = 0

    def start(self, name: str, *seeds: str) -> OverlayNode:
        """Starts a node that knows only the given peer addresses."""
        self._incarnation += 1
        node = OverlayNode(
            name,
            self.fabric,
            self._incarnation,
            seeds,
            self._seed,
            f"z{int(name[1:]) % self._zone_count}",
        )
        self.nodes[name] = node
        self._nursery.start_soon(node.run)
        return node

    def kill(self, name: str) -> None:
        """Stops a node without letting it leave the cluster."""
        self.nodes.pop(name).scope.cancel()

    async def wait_for_agreement(
        self, expected: set[str], limit: float
    ) -> float:
        """Waits until all nodes see exactly the expected ones as alive.

        Args:
            expected: The ids of the nodes that should be alive.
            limit: The maximum wait in virtual seconds.

        Returns:
            The elapsed virtual seconds.

        Raises:
            AssertionError: The nodes did not agree within the limit.
        """
        started = trio.current_time()
        while trio.current_time() - started < limit:
            if all(
                node.get_alive() == expected for node in self.nodes.values()
            ):
                return trio.current_time() - started
            await trio.sleep(0.05)
        differences = {
            name: sorted(node.get_alive() ^ expected)
            for name, node in self.nodes.items()
        }
        raise AssertionError(f"no agreement within {limit} s: {differences}")
