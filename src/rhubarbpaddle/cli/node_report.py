"""The status of one node."""

from collections.abc import Mapping
from typing import Any, NamedTuple, Self


class NodeReport(NamedTuple):
    """The status of one node; fields that the node omits get defaults.

    Attributes:
        document: The complete response.
        version: The configuration version in force, or 0.
        digest: The digest of the configuration text, or the empty string.
    """

    document: Mapping[str, Any]
    version: int
    digest: str

    @classmethod
    def from_config(cls, document: Mapping[str, Any]) -> Self:
        """Creates a report from the JSON object that a node sent."""
        return cls(
            document,
            int(document.get("version", 0)),
            str(document.get("digest", "")),
        )

    @property
    def members(self) -> dict[str, str]:
        """The admin address of each member in the node's member table."""
        members = self.document.get("members", {})
        return {str(k): str(v) for k, v in dict(members).items()}

    def list_cells(self) -> list[str]:
        """Returns the cells of the node's row in the status table."""
        doc = self.document
        age = doc.get("configuration_age_seconds")
        flags = [flag for flag in ("unverified", "gap") if doc.get(flag)]
        if doc.get("lag"):
            flags.append(f"lag {doc['lag']}")
        in_service = "in" if doc.get("in_service") else "OUT"
        return [
            str(doc.get("node_id", "?")),
            str(doc.get("availability_zone", "?")),
            in_service,
            str(self.version or "none"),
            self.digest[:8] or "-",
            "never" if age is None else f"{age:.1f}s",
            f"{doc.get('service', '-')}/{doc.get('instance', '-')}",
            str(doc.get("upstream_state", "-")),
            f"{doc.get('in_flight', 0)}/{doc.get('limit', 0)}",
            str(doc.get("queued", 0)),
            ", ".join(flags) or "-",
        ]
