"""The programs and stand-ins of a soak run, and the records of the run."""

import itertools
import os
import random
from collections.abc import Sequence
from pathlib import Path

import trio

from demo.process_group import wait_for_http
from soak.caller import Caller
from soak.configuration_history import ORGANISATIONS, ConfigurationHistory
from soak.host import SERVICE, SoakHost
from soak.instance import COLD_SECONDS
from soak.records import Fault, Run, SentRequest
from standins.platform_store import PlatformStore

ZONES = ("a", "b", "c")
COLD_PER_SECOND = 5.0
_START_TIMEOUT_SECONDS = 20.0
_CALLERS_PER_HOST = 2
_TARGET_HOSTS = 2
_SURGE_SECONDS = 6.0
_MAX_SURGE_DELAY_SECONDS = 2.0
_SURGE_PAUSE_SECONDS = 0.01


class SoakDeployment:
    """Hosts in three availability zones, the store and callers.

    Attributes:
        hosts: The hosts that have callers and faults.
        target_hosts: Those for the new instances of a roll-out.
        store: The stand-in for the platform's store.
        configurations: The configurations that operators published.
        sent: The requests that callers sent.
        runs: The requests that instances ran.
        faults: The injected faults.
        drain_deadlines: When each leaving instance must have started its last
            request, by instance id: 2 s after its departure was acknowledged.
        withdrawals: The zone, start and end of each withdrawal.
        late_exits: The name of each host whose node exceeded its grace period,
            and when it received SIGTERM.
        rng: The random number generator of the run.
        nursery: Runs the stand-ins.
    """

    def __init__(
        self,
        hosts: int,
        folder: Path,
        rng: random.Random,
        nursery: trio.Nursery,
        organisations: Sequence[str] = ORGANISATIONS,
        *,
        has_quota_terms: bool = True,
    ) -> None:
        """Creates a deployment in which nothing runs.

        Args:
            hosts: The number of hosts.
            folder: The folder for settings and logs.
            rng: The random number generator of the run.
            nursery: Runs the stand-ins.
            organisations: The names of the organisations. Without any, requests
                need no keys, and `make_callers` and `surge` can't be used.
            has_quota_terms: Whether the nodes apply usage caps.
        """
        self.rng = rng
        self.nursery = nursery
        self.store = PlatformStore()
        self.sent: list[SentRequest] = []
        self.runs: list[Run] = []
        self.faults: list[Fault] = []
        self.drain_deadlines: dict[str, float] = {}
        self.withdrawals: list[tuple[str, float, float]] = []
        self.late_exits: list[tuple[str, float]] = []
        self.configurations = ConfigurationHistory(
            SERVICE, hosts, COLD_PER_SECOND, COLD_SECONDS, organisations
        )
        self._organisations = organisations
        self._store_port = 7000
        self._store_ip = f"127.{os.getpid() % 200 + 20}.255.1"
        all_hosts = [
            SoakHost(
                index,
                ZONES[index % len(ZONES)],
                f"{self._store_ip}:{self._store_port}",
                folder,
                self.runs,
                rng,
                has_quota_terms=has_quota_terms,
            )
            for index in range(hosts + _TARGET_HOSTS)
        ]
        self.hosts = all_hosts[:hosts]
        self.target_hosts = all_hosts[hosts:]

    async def start(self) -> None:
        """Starts everything and waits until all nodes are ready."""
        self.change_configuration()
        listeners = await trio.open_tcp_listeners(
            self._store_port, host=self._store_ip
        )
        self.nursery.start_soon(
            trio.serve_listeners, self.store.handle, listeners
        )
        for host in (*self.hosts, *self.target_hosts):
            await host.start_proxies(self.nursery)
            host.start_node()
        for host in self.hosts:
            await host.start_instance(self.nursery, is_cold=False)
        for host in (*self.hosts, *self.target_hosts):
            await trio.to_thread.run_sync(
                wait_for_http,
                f"http://{host.readiness_address}/ready",
                _START_TIMEOUT_SECONDS,
            )
        # Instances report twice a second.
        await trio.sleep(1.0)

    def make_callers(self, label: str) -> list[Caller]:
        """Creates callers for all hosts.

        Args:
            label: The prefix of the callers' request ids.
        """
        return [
            Caller(
                f"{label}-{host.name}-{number}",
                host.name,
                host.caller_address,
                self._organisations[
                    (index * _CALLERS_PER_HOST + number)
                    % len(self._organisations)
                ],
                self.configurations,
                self.sent,
                self.rng,
            )
            for index, host in enumerate(self.hosts)
            for number in range(_CALLERS_PER_HOST)
        ]

    async def surge(self, seed: int) -> None:
        """Makes an organisation send several times its usual requests.

        Args:
            seed: The seed of the run.
        """
        # The other choices of a seed stay the same.
        rng = random.Random(f"surge-{seed}")
        await trio.sleep(rng.uniform(0.0, _MAX_SURGE_DELAY_SECONDS))
        organisation = rng.choice(self._organisations)
        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            stopped = trio.Event()
            for host, number in itertools.product(
                self.hosts, range(_CALLERS_PER_HOST)
            ):
                caller = Caller(
                    f"s-{host.name}-{number}",
                    host.name,
                    host.caller_address,
                    organisation,
                    self.configurations,
                    self.sent,
                    rng,
                )
                nursery.start_soon(caller.run, stopped, _SURGE_PAUSE_SECONDS)
            await trio.sleep(_SURGE_SECONDS)
            stopped.set()
        self.faults.append(
            Fault(
                "surge",
                "all",
                started_at,
                trio.current_time(),
                is_planned=True,
            )
        )

    def change_configuration(self) -> None:
        """Publishes a configuration with a new path, as operators do."""
        text = self.configurations.publish(trio.current_time())
        self.store.put("keyed.op", "config", text)

    def kill_all(self) -> None:
        """Kills all node processes that were started."""
        for host in (*self.hosts, *self.target_hosts):
            host.kill()
