"""A model of nodes that read a store, and each other, through drills."""

import json
from datetime import UTC, datetime, timedelta

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from features.support.platform_world import make_configuration
from rhubarbpaddle.configuration.state_version import NO_STATE
from rhubarbpaddle.platform.keyed_record import KeyedRecord
from rhubarbpaddle.platform.log_records import LogRecords
from rhubarbpaddle.platform.newest_records import NewestRecords
from rhubarbpaddle.platform.state_in_force import StateInForce
from rhubarbpaddle.platform.store_configuration_state import (
    StoreConfigurationState,
)
from rhubarbpaddle.platform.store_reading import StoreReading

_SETTLING_SECONDS = 15.0
_NODES = 3
_CONFIG = "config"
_nodes = st.integers(0, _NODES - 1)
_keys = st.sampled_from(["evacuate/a", "evacuate/b"])


class SteppedClock:
    """A clock that stands still between steps."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def monotonic(self) -> float:
        return self.seconds

    def now(self) -> datetime:
        return datetime.fromtimestamp(self.seconds, UTC)

    async def sleep(self, duration: timedelta) -> None:
        raise NotImplementedError


class StoreErasMachine(RuleBasedStateMachine):
    """Plays any order of writes, drills, reads, restarts and exchanges.

    Checks that no node goes back to an older configuration, and that in the end
    all have what the operator has written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock = SteppedClock()
        self.era = 1
        self.log: list[tuple[str, bytes]] = []
        self.version = 0
        # What the operator has written last, by key, and what of it the store
        # has lost.
        self.written: dict[str, bytes] = {}
        self.lost: list[str] = []
        self.lost_at: dict[str, float] = {}
        self.nodes: list[StateInForce] = []
        self.newest: list[int] = [0] * _NODES
        # The withdrawals that each node has read and that are not restored.
        self.held: list[set[str]] = [set() for _ in range(_NODES)]
        self.open_reads: dict[int, tuple[StoreReading, int, int]] = {}

    @initialize()
    def start(self) -> None:
        self.write_configuration()
        self.nodes = [self._make_node() for _ in range(_NODES)]
        for index in range(_NODES):
            self.read(index)

    def _make_node(self) -> StateInForce:
        return StateInForce(
            self.clock, _SETTLING_SECONDS, lambda cfg: None, lambda: None
        )

    def _write(self, key: str, value: bytes) -> None:
        self.written[key] = value
        self.log.append((key, value))
        if key in self.lost:
            self.lost.remove(key)

    @rule()
    def write_configuration(self) -> None:
        self.version += 1
        document = make_configuration(self.version)
        self._write(_CONFIG, json.dumps(document).encode())

    @rule(key=_keys)
    def withdraw(self, key: str) -> None:
        self._write(key, b"{}")

    @rule(key=_keys)
    def restore(self, key: str) -> None:
        if self.written.get(key):
            self._write(key, b"")
            for held in self.held:
                held.discard(key)

    @rule(count=st.sampled_from([1, 2, 0, 4]))
    def drill(self, count: int) -> None:
        kept = max(0, len(self.log) - count)
        keys = {key for key, _ in self.log[kept:]}
        del self.log[kept:]
        self.era += 1
        for key in sorted(keys - set(self.lost)):
            self.lost.append(key)
            self.lost_at[key] = self.clock.seconds

    @rule(key=_keys, index=_nodes)
    def lose_change(self, key: str, index: int) -> None:
        """Loses a change that one node alone has read."""
        self.toggle(key)
        self.read(index)
        self.drill(1)
        self.read(index)

    @rule(key=_keys)
    def toggle(self, key: str) -> None:
        if self.written.get(key):
            self.restore(key)
        else:
            self.withdraw(key)

    @precondition(lambda self: self.lost)
    @rule()
    def write_again(self) -> None:
        key = self.lost[0]
        self._write(key, self.written[key])

    @rule(index=_nodes)
    def read(self, index: int) -> None:
        """Reads until the node has all that the store holds."""
        node = self.nodes[index]
        if node.reading is not None:
            self.begin_read(index)
            self.finish_read(index)
        if node.reading is None:
            self._read_newest(node)
        self.held[index] |= {
            key
            for key, value in dict(self.log).items()
            if key != _CONFIG and value and self.written[key]
        }

    @rule(index=_nodes)
    def begin_read(self, index: int) -> None:
        """Begins a long poll, which the store may answer in another era."""
        reading = self.nodes[index].reading
        if reading is not None:
            self.open_reads[index] = reading, reading.era, reading.end

    @rule(index=_nodes)
    def finish_read(self, index: int) -> None:
        if index not in self.open_reads:
            return
        reading, era, start = self.open_reads.pop(index)
        node = self.nodes[index]
        if start > len(self.log):
            node.discard_reading(reading, "records_deleted")
            return
        is_current = node.reading is reading and era == self.era
        node.take_records(reading, era, self._read_log(start), 0)
        if is_current:
            self._check_deletions(node, start)

    def _check_deletions(self, node: StateInForce, start: int) -> None:
        """Checks that a restored zone is in use once its record was read."""
        assert node.state is not None
        for key, value in dict(self.log[start:]).items():
            assert value or key not in node.state.withdrawals, key

    def _read_newest(self, node: StateInForce) -> None:
        values = dict(self.log)
        offsets = {key: at for at, (key, _) in enumerate(self.log)}
        records = [
            KeyedRecord(key, value, offsets[key])
            for key, value in sorted(values.items())
            if value
        ]
        node.take_newest(NewestRecords(records, len(self.log), self.era), 0)

    def _read_log(self, start: int) -> LogRecords:
        records = [
            KeyedRecord(key, value, offset)
            for offset, (key, value) in enumerate(self.log)
            if offset >= start
        ]
        return LogRecords(records, len(self.log), self.era)

    @rule(sender=_nodes, receiver=_nodes)
    def exchange(self, sender: int, receiver: int) -> None:
        state = self.nodes[sender].state
        current = self.nodes[receiver].state
        own_version = current.state_version if current else NO_STATE
        if (
            state is not None
            and state.configuration is not None
            and own_version.lacks(state.state_version)
        ):
            now = self.clock.monotonic()
            text = state.get_text(now)
            self.nodes[receiver].adopt(
                StoreConfigurationState.from_text(
                    text, state.state_version, now
                )
            )

    @rule(index=_nodes)
    def restart(self, index: int) -> None:
        self.nodes[index] = self._make_node()
        self.newest[index] = 0
        self.held[index].clear()
        self.open_reads.pop(index, None)

    @rule(
        seconds=st.sampled_from([0.5, 4.0, 20.0]),
        cut_off=st.integers(-1, _NODES - 1),
    )
    def wait(self, seconds: float, cut_off: int) -> None:
        """Lets time pass, in which all nodes but one are in contact."""
        self.clock.seconds += seconds
        for index, node in enumerate(self.nodes):
            if index != cut_off:
                self.read(index)
                node.drop_lost_keys()

    @invariant()
    def check_no_older_configuration(self) -> None:
        for index, node in enumerate(self.nodes):
            version = _get_version(node)
            assert version >= self.newest[index], (index, version)
            self.newest[index] = version

    @invariant()
    def check_withdrawals(self) -> None:
        for node, held in zip(self.nodes, self.held, strict=True):
            assert node.state is not None or not held
            held -= {
                key
                for key in self.lost
                if self.clock.seconds - self.lost_at[key] >= _SETTLING_SECONDS
            }
            if node.state is not None:
                assert held <= node.state.withdrawals, held

    def teardown(self) -> None:
        """Lets all nodes learn everything, and compares them."""
        while self.lost:
            self.write_again()
        for index in range(len(self.nodes)):
            self.read(index)
        for sender in range(len(self.nodes)):
            for receiver in range(len(self.nodes)):
                self.exchange(sender, receiver)
        self.wait(_SETTLING_SECONDS, -1)
        withdrawn = {
            key.removeprefix("evacuate/")
            for key, value in self.written.items()
            if key != _CONFIG and value
        }
        for node in self.nodes:
            assert node.state is not None
            assert _get_version(node) == self.version
            zones = set(node.state.list_withdrawn_zones())
            assert zones == withdrawn, (zones, withdrawn)


def _get_version(node: StateInForce) -> int:
    if node.state is None or node.state.configuration is None:
        return 0
    return node.state.configuration.version
