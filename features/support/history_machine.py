"""A state machine that compares configuration histories on random logs."""

import json
from typing import NamedTuple

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.checkpoint import Checkpoint
from rhubarbpaddle.configuration.configuration_history import (
    ConfigurationHistory,
)
from rhubarbpaddle.configuration.publication import Publication

LogRecord = Publication | Checkpoint | None


class ExpectedConfiguration(NamedTuple):
    """The configuration that must be in force after an offset.

    Attributes:
        version: The configuration version, or 0 if there is none.
        text: The configuration text, or the empty string.
    """

    version: int
    text: str


def make_text(number: int) -> str:
    """Returns a valid configuration text that differs for each number."""
    zones = {f"zone-{number}": {}}
    return json.dumps({"services": {}, "availability_zones": zones})


class HistoryMachine(RuleBasedStateMachine):
    """Compares two readers with a model that reads every record in order."""

    def __init__(self) -> None:
        super().__init__()
        self.records: list[LogRecord] = []
        self.expected: list[ExpectedConfiguration] = []
        self.first_offset = 0
        self.readers = [ConfigurationHistory(), ConfigurationHistory()]
        self.last_versions = [0, 0]
        self.publication_count = 0

    def append(self, record: LogRecord) -> None:
        """Appends a record and computes what is in force after it."""
        expected = (
            self.expected[-1] if self.expected else ExpectedConfiguration(0, "")
        )
        if record is not None and record["kind"] == "publication":
            valid = record["text"].startswith("{")
            if record["base"] == expected.version and valid:
                expected = ExpectedConfiguration(
                    expected.version + 1, record["text"]
                )
        self.records.append(record)
        self.expected.append(expected)

    @rule(versions_behind=st.sampled_from([0, 0, 0, 1, 2]), valid=st.booleans())
    def publish(self, versions_behind: int, valid: bool) -> None:
        """Publishes a text; a concurrent publisher has an outdated base."""
        self.publication_count += 1
        version = self.expected[-1].version if self.expected else 0
        self.append(
            Publication(
                kind="publication",
                id=str(self.publication_count),
                base=max(0, version - versions_behind),
                text=make_text(self.publication_count) if valid else "not JSON",
                publisher="test",
            )
        )

    @precondition(lambda self: self.expected and self.expected[-1].version)
    @rule(data=st.data())
    def write_checkpoint(self, data: st.DataObject) -> None:
        """Appends a checkpoint, whose writer may have been slow.

        Therefore `as_of` may be any offset so far.
        """
        as_of = data.draw(st.integers(0, len(self.expected) - 1))
        version, text = self.expected[as_of]
        if version:
            self.append(
                Checkpoint(
                    kind="checkpoint", version=version, text=text, as_of=as_of
                )
            )

    @precondition(lambda self: self.records)
    @rule(data=st.data())
    def append_again(self, data: st.DataObject) -> None:
        """Appends a record again, as a writer does after a lost response."""
        self.append(data.draw(st.sampled_from(self.records)))

    @rule()
    def append_malformed(self) -> None:
        """Appends a record that can't be decoded."""
        self.append(None)

    @rule(count=st.integers(1, 8))
    def expire(self, count: int) -> None:
        """Removes the oldest records, as the log's retention does."""
        self.first_offset = min(self.first_offset + count, len(self.records))

    @rule(index=st.integers(0, 1), count=st.integers(1, 12))
    def read(self, index: int, count: int) -> None:
        """Applies up to `count` records to a reader."""
        reader = self.readers[index]
        for _ in range(count):
            reader.observe_range(self.first_offset, len(self.records))
            if not reader.unapplied_records:
                return
            reader.apply(reader.next_offset, self.records[reader.next_offset])

    @rule(index=st.integers(0, 1))
    def read_to_end(self, index: int) -> None:
        """Applies all records to a reader.

        The number of steps is bounded, because a reader that restores the same
        checkpoint repeatedly would never reach the end.
        """
        reader = self.readers[index]
        for _ in range(3 * len(self.records) + 1):
            reader.observe_range(self.first_offset, len(self.records))
            if not reader.unapplied_records:
                return
            reader.apply(reader.next_offset, self.records[reader.next_offset])
        raise AssertionError("the reader did not reach the end of the log")

    @rule(index=st.integers(0, 1))
    def restart(self, index: int) -> None:
        """Replaces a reader by one without state."""
        self.readers[index] = ConfigurationHistory()
        self.last_versions[index] = 0

    @rule(index=st.integers(0, 1))
    def adopt(self, index: int) -> None:
        """Makes a reader adopt the configuration of the other."""
        accepted = self.readers[1 - index].accepted
        if accepted is not None:
            self.readers[index].adopt(accepted)

    @invariant()
    def versions_never_decrease(self) -> None:
        """Checks that no reader returns to an older version."""
        for index, reader in enumerate(self.readers):
            assert reader.version >= self.last_versions[index]
            self.last_versions[index] = reader.version

    @invariant()
    def readers_agree_with_model(self) -> None:
        """Compares the readers' configurations with the model's."""
        for reader in self.readers:
            accepted = reader.accepted
            if not reader.gap and reader.next_offset:
                assert_equal(accepted, self.expected[reader.next_offset - 1])
            if accepted is not None:
                assert_equal(accepted, self.expected[accepted.as_of])

    @invariant()
    def covering_checkpoint_closes_gap(self) -> None:
        """Checks that a reader uses a checkpoint that covers its gap."""
        for reader in self.readers:
            if reader.unapplied_records or reader.end_offset != len(
                self.records
            ):
                continue
            retained = self.records[self.first_offset :]
            if any(
                record is not None
                and record["kind"] == "checkpoint"
                and record["as_of"] >= self.first_offset - 1
                for record in retained
            ):
                assert not reader.gap or reader.next_offset == 0


def assert_equal(
    accepted: AcceptedConfiguration | None, expected: ExpectedConfiguration
) -> None:
    """Compares a reader's configuration with the expected one."""
    actual = (
        ExpectedConfiguration(accepted.version, accepted.text)
        if accepted
        else ExpectedConfiguration(0, "")
    )
    assert actual == expected, (actual, expected)
