"""A node's settings."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple, Self

from rhubarbpaddle.configuration.text import strip_comments
from rhubarbpaddle.exceptions import SettingsError

_STEP = "load_settings"


class NodeSettings(NamedTuple):
    """What a node has to know before it can ask anyone.

    Attributes:
        cluster: The cluster's name.
        secret: What all nodes of the cluster share.
        node_id: This node's name, unique in the cluster.
        host: The host's name.
        availability_zone: The zone that the host stands in.
        caller_address: `IP:PORT` for callers.
        peer_address: `IP:PORT` for other nodes.
        admin_address: `IP:PORT` for operators and the upstream.
        log_address: `IP:PORT` of the platform's log.
        seeds: Peer addresses to try while the log is down.
        log_level: The least level of events that are logged.
        shutdown_grace: How long a graceful shutdown may take.
        announcement_lease: How long an upstream's announcement holds.
    """

    cluster: str
    secret: str
    node_id: str
    host: str
    availability_zone: str
    caller_address: str
    peer_address: str
    admin_address: str
    log_address: str
    seeds: tuple[str, ...] = ()
    log_level: str = "info"
    shutdown_grace: timedelta = timedelta(seconds=30)
    announcement_lease: timedelta = timedelta(seconds=1.5)

    @classmethod
    def from_config(cls, document: dict[str, Any]) -> Self:
        """Makes settings from a parsed document.

        Raises:
            SettingsError: A field is missing, unknown or of the wrong kind.
        """
        fields = dict(document)
        for name in ("shutdown_grace", "announcement_lease"):
            if f"{name}_ms" in fields:
                milliseconds = fields.pop(f"{name}_ms")
                fields[name] = timedelta(milliseconds=milliseconds)
        fields["seeds"] = tuple(fields.get("seeds", ()))
        try:
            return cls(**fields)
        except TypeError as exc:
            raise SettingsError(str(exc), step=_STEP) from exc

    @classmethod
    def from_file(cls, path: Path) -> Self:
        """Loads settings from a file of JSON with comments.

        Raises:
            SettingsError: The file can't be read or is invalid.
        """
        try:
            document = json.loads(strip_comments(path.read_text()))
        except (OSError, ValueError) as exc:
            raise SettingsError(str(exc), step=_STEP, peer=str(path)) from exc
        return cls.from_config(document)
