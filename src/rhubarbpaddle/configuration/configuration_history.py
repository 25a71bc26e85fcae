"""Derives the accepted configuration by replay of the log."""

from rhubarbpaddle.configuration.accepted_configuration import (
    AcceptedConfiguration,
)
from rhubarbpaddle.configuration.accepted_publication import AcceptedPublication
from rhubarbpaddle.configuration.checkpoint import Checkpoint
from rhubarbpaddle.configuration.checkpoint_metadata import CheckpointMetadata
from rhubarbpaddle.configuration.publication import Publication
from rhubarbpaddle.exceptions import ConfigurationError

NO_VERSION = 0


class ConfigurationHistory:
    """Replays the configuration stream and decides which text is in force.

    All readers replay the same records in the same order and therefore agree.
    A reader without state starts at offset 0 or from a checkpoint that covers
    all records that the log no longer retains. The version never decreases.

    The caller reads the stream at `next_offset`, passes the range of offsets
    that the log retains to `observe_range`, and each record to `apply`.
    Restoring a checkpoint moves `next_offset` back, so the caller discards the
    rest of a batch whose next record is not at `next_offset`.

    Attributes:
        accepted: The configuration in force, or None.
        origin: The publication that created the version in force, or None if
            it was not read from the log.
        checkpoint: The metadata of the newest checkpoint read, or None.
        next_offset: The offset to read next.
        end_offset: The end of the stream at the last read.
        unverified: Whether `accepted` came from a peer and the stream has not
            been read to its end since.
        gap: Whether the log's retention removed records before they were read,
            so that `accepted` may not be the newest. Publications are not
            applied while there is a gap, because their base version can't be
            compared.
        ignored_reason: Why the last record was ignored, or the empty string.
    """

    def __init__(self) -> None:
        self.accepted: AcceptedConfiguration | None = None
        self.origin: AcceptedPublication | None = None
        self.checkpoint: CheckpointMetadata | None = None
        self.next_offset = 0
        self.end_offset = 0
        self.unverified = False
        self.gap = False
        self.ignored_reason = ""
        self._first_offset = 0

    @property
    def version(self) -> int:
        """The version in force, or 0 if there is none."""
        return self.accepted.version if self.accepted else NO_VERSION

    @property
    def unapplied_records(self) -> int:
        """The number of records of the stream that are not applied yet."""
        return max(0, self.end_offset - self.next_offset)

    def observe_range(self, first_offset: int, end_offset: int) -> None:
        """Updates the range of offsets that the log retains.

        Args:
            first_offset: The oldest offset that the log still retains.
            end_offset: The offset of the next record to be appended.
        """
        self._first_offset = first_offset
        self.end_offset = end_offset
        if self.next_offset < first_offset:
            self.gap = True
            self.next_offset = first_offset
        self._update_unverified()

    def apply(
        self, offset: int, record: Publication | Checkpoint | None
    ) -> bool:
        """Applies one record.

        Args:
            offset: The record's offset in the stream.
            record: The decoded record, or None if it is malformed.

        Returns:
            Whether the accepted version changed.
        """
        if offset < self.next_offset:
            return False
        if offset > self.next_offset:
            self.gap = True
        self.next_offset = offset + 1
        version = self.version
        self.ignored_reason = ""
        if record is None:
            self.ignored_reason = "malformed"
        elif record["kind"] == "checkpoint":
            self._apply_checkpoint(offset, record)
        else:
            self._apply_publication(offset, record)
        if self.accepted is not None and not self.gap:
            self.accepted = self.accepted._replace(as_of=self.next_offset - 1)
        self._update_unverified()
        return self.version != version

    def restore(self, offset: int, record: Checkpoint) -> bool:
        """Restores a checkpoint if it is newer than the current state.

        Args:
            offset: The log offset of the checkpoint's record.
            record: The checkpoint.

        Returns:
            Whether it was restored; `next_offset` is then the offset after its
            `as_of`.
        """
        as_of = record["as_of"]
        covers_gap = as_of >= self._first_offset - 1
        is_newer = self.gap or as_of >= self.next_offset
        if (
            as_of >= offset
            or not covers_gap
            or not is_newer
            or record["version"] < self.version
        ):
            return False
        try:
            accepted = AcceptedConfiguration.from_text(
                record["version"], record["text"], as_of
            )
        except ConfigurationError:
            self.ignored_reason = "the text of the checkpoint is invalid"
            return False
        self._record_checkpoint(record)
        if accepted.version > self.version:
            self.origin = None
        self._continue_from(accepted)
        return True

    def adopt(self, accepted: AcceptedConfiguration) -> bool:
        """Adopts the configuration that a peer has accepted, if it is newer.

        Args:
            accepted: The peer's configuration; its `as_of` is the last offset
                that the peer had replayed.

        Returns:
            Whether the accepted version changed.
        """
        version = self.version
        if accepted.version < version:
            return False
        if accepted.version == version:
            current = self.accepted
            if (
                current is None
                or current.digest != accepted.digest
                or not self.gap
            ):
                return False
        elif not self.gap and accepted.as_of < self.next_offset:
            # This node has replayed beyond the peer's offset without
            # accepting such a version.
            return False
        if accepted.as_of >= self._first_offset - 1:
            self._continue_from(accepted)
        else:
            self.accepted = accepted
        self.unverified = True
        if accepted.version > version:
            self.origin = None
        return accepted.version > version

    def _apply_publication(self, offset: int, record: Publication) -> None:
        if self.gap:
            self.ignored_reason = "the version in force is unknown after a gap"
            return
        if record["base"] != self.version:
            self.ignored_reason = (
                f"base version {record['base']} is not the current version "
                f"{self.version}"
            )
            return
        version = self.version + 1
        try:
            self.accepted = AcceptedConfiguration.from_text(
                version, record["text"], offset
            )
        except ConfigurationError as exc:
            self.ignored_reason = f"invalid text: {exc.problems[0]}"
            return
        self.origin = AcceptedPublication(
            record["id"], record["publisher"], offset, version
        )

    def _apply_checkpoint(self, offset: int, record: Checkpoint) -> None:
        if record["as_of"] >= offset:
            self.ignored_reason = (
                "the checkpoint's as_of is not before its offset"
            )
        elif self.gap:
            if not self.restore(offset, record):
                self.ignored_reason = (
                    self.ignored_reason or "the checkpoint is too old"
                )
        elif self._contradicts_replay(record):
            self.ignored_reason = (
                "the checkpoint contradicts the replayed records"
            )
        else:
            self._record_checkpoint(record)

    def _contradicts_replay(self, record: Checkpoint) -> bool:
        accepted = self.accepted
        if accepted is None or record["version"] > accepted.version:
            return True
        is_same = record["version"] == accepted.version
        return is_same and record["text"] != accepted.text

    def _record_checkpoint(self, record: Checkpoint) -> None:
        if self.checkpoint and self.checkpoint.as_of >= record["as_of"]:
            return
        self.checkpoint = CheckpointMetadata(
            record["as_of"], record["version"], record.get("written_ms", 0)
        )

    def _continue_from(self, accepted: AcceptedConfiguration) -> None:
        self.accepted = accepted
        self.next_offset = accepted.as_of + 1
        self.gap = False

    def _update_unverified(self) -> None:
        if not self.gap and self.next_offset == self.end_offset:
            self.unverified = False
