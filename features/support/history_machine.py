"""Random logs and readers of the configuration's history."""

import json
from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from rhubarbpaddle.configuration import (
    AcceptedConfiguration,
    Checkpoint,
    ConfigurationHistory,
    Publication,
)

LogRecord = Publication | Checkpoint | None


class Truth(NamedTuple):
    """What is accepted after an offset."""

    version: int
    text: str


def make_text(number: int) -> str:
    zones = {f"zone-{number}": {}}
    return json.dumps({"services": {}, "availability_zones": zones})


class HistoryMachine(RuleBasedStateMachine):
    """Compares readers with a model that sees each record in order."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[LogRecord] = []
        self.truths: list[Truth] = []
        self.first_offset = 0
        self.readers = [ConfigurationHistory(), ConfigurationHistory()]
        self.versions = [0, 0]
        self.number = 0

    def append(self, record: LogRecord) -> None:
        truth = self.truths[-1] if self.truths else Truth(0, "")
        if record is not None and record["kind"] == "publication":
            valid = record["text"].startswith("{")
            if record["base"] == truth.version and valid:
                truth = Truth(truth.version + 1, record["text"])
        self.records.append(record)
        self.truths.append(truth)

    @rule(lag=st.sampled_from([0, 0, 0, 1, 2]), valid=st.booleans())
    def publish(self, lag: int, valid: bool) -> None:
        """Racing publishers have a base that is too low by the time."""
        self.number += 1
        version = self.truths[-1].version if self.truths else 0
        self.append(
            Publication(
                kind="publication",
                id=str(self.number),
                base=max(0, version - lag),
                text=make_text(self.number) if valid else "not JSON",
                publisher="test",
            )
        )

    @precondition(lambda self: self.truths and self.truths[-1].version)
    @rule(data=st.data())
    def write_checkpoint(self, data: st.DataObject) -> None:
        """A writer may have been slow, so `as_of` may be any offset."""
        as_of = data.draw(st.integers(0, len(self.truths) - 1))
        version, text = self.truths[as_of]
        if version:
            self.append(
                Checkpoint(
                    kind="checkpoint", version=version, text=text, as_of=as_of
                )
            )

    @precondition(lambda self: self.records)
    @rule(data=st.data())
    def append_again(self, data: st.DataObject) -> None:
        """An answer was lost, or an old record comes again."""
        self.append(data.draw(st.sampled_from(self.records)))

    @rule()
    def append_malformed(self) -> None:
        self.append(None)

    @rule(count=st.integers(1, 8))
    def expire(self, count: int) -> None:
        self.first_offset = min(self.first_offset + count, len(self.records))

    @rule(index=st.integers(0, 1), count=st.integers(1, 12))
    def read(self, index: int, count: int) -> None:
        reader = self.readers[index]
        for _ in range(count):
            reader.observe_range(self.first_offset, len(self.records))
            if not reader.unapplied_records:
                return
            reader.apply(reader.next_offset, self.records[reader.next_offset])

    @rule(index=st.integers(0, 1))
    def read_to_end(self, index: int) -> None:
        """A checkpoint that is taken again and again would never end this."""
        reader = self.readers[index]
        for _ in range(3 * len(self.records) + 1):
            reader.observe_range(self.first_offset, len(self.records))
            if not reader.unapplied_records:
                return
            reader.apply(reader.next_offset, self.records[reader.next_offset])
        raise AssertionError("the reader does not reach the end")

    @rule(index=st.integers(0, 1))
    def restart(self, index: int) -> None:
        self.readers[index] = ConfigurationHistory()
        self.versions[index] = 0

    @rule(index=st.integers(0, 1))
    def adopt(self, index: int) -> None:
        accepted = self.readers[1 - index].accepted
        if accepted is not None:
            self.readers[index].adopt(accepted)

    @invariant()
    def versions_never_decrease(self) -> None:
        for index, reader in enumerate(self.readers):
            assert reader.version >= self.versions[index]
            self.versions[index] = reader.version

    @invariant()
    def readers_agree_with_the_log(self) -> None:
        for reader in self.readers:
            accepted = reader.accepted
            if not reader.gap and reader.next_offset:
                assert_agrees(accepted, self.truths[reader.next_offset - 1])
            if accepted is not None:
                assert_agrees(accepted, self.truths[accepted.as_of])

    @invariant()
    def a_covering_checkpoint_gives_state(self) -> None:
        for reader in self.readers:
            if reader.unapplied_records or reader.end_offset != len(
                self.records
            ):
                continue
            held = self.records[self.first_offset :]
            if any(
                record is not None
                and record["kind"] == "checkpoint"
                and record["as_of"] >= self.first_offset - 1
                for record in held
            ):
                assert not reader.gap or reader.next_offset == 0


def assert_agrees(accepted: AcceptedConfiguration | None, truth: Truth) -> None:
    held = Truth(accepted.version, accepted.text) if accepted else Truth(0, "")
    assert held == truth, (held, truth)
