"""Reads the settings of a node."""

import socket
from datetime import timedelta
from pathlib import Path
from typing import NamedTuple, Self

from rhubarbpaddle.configuration.diagnostic_collector import DiagnosticCollector
from rhubarbpaddle.configuration.section import (
    HOST_LABEL,
    Section,
    suggest_name,
)
from rhubarbpaddle.configuration.text_scanner import TextScanner
from rhubarbpaddle.exceptions import SettingsError

_STEP = "load_settings"
_MILLISECOND = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_LOG_LEVELS = ("debug", "info", "warning", "error")


class NodeSettings(NamedTuple):
    """The local settings that a node needs to join the cluster.

    Attributes:
        cluster: The cluster's name.
        secret: The shared secret by which nodes authenticate each other.
        node_id: This node's name, unique in the cluster.
        host: The host's name.
        availability_zone: The zone that the host is in.
        caller_address: `IP:PORT` for callers.
        peer_address: `IP:PORT` for other nodes.
        admin_address: `IP:PORT` for operators and the upstream.
        log_address: `IP:PORT` of the platform's log.
        seeds: Peer addresses to contact while the log is down.
        log_level: The lowest level of events that are logged.
        shutdown_grace: The time limit of a graceful shutdown.
        announcement_lease: How long an upstream's announcement is valid.
        log_retention: How long the platform's log retains a record.
        checkpoint_interval: The age of the newest checkpoint at which a new
            one is written.
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
    log_retention: timedelta = timedelta(days=1)
    checkpoint_interval: timedelta = timedelta(hours=6)

    @classmethod
    def from_config(cls, text: str, name: str = "settings") -> Self:
        """Creates settings from a text of JSON with comments.

        Args:
            text: The settings text.
            name: The name of the text's source, for error messages.

        Raises:
            SettingsError: A key is missing, unknown or has an invalid value.
                The detail is one line that lists all errors with their
                positions.
        """
        diagnostics = DiagnosticCollector(text)
        value = TextScanner(text, diagnostics).scan()
        if value is not None:
            settings = cls._from_section(
                Section(value, "the settings", diagnostics)
            )
            if not diagnostics.errors:
                return settings
        detail = "; ".join(diagnostics.list_errors())
        raise SettingsError(detail, step=_STEP, peer=name)

    @classmethod
    def from_file(cls, path: Path) -> Self:
        """Reads settings from a file of JSON with comments.

        Raises:
            SettingsError: The file can't be read or is invalid.
        """
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, ValueError) as exc:
            raise SettingsError(str(exc), step=_STEP, peer=str(path)) from exc
        return cls.from_config(text, str(path))

    @classmethod
    def _from_section(cls, section: Section) -> Self:
        section.require(
            "cluster",
            "secret",
            "node_id",
            "host",
            "availability_zone",
            "caller_address",
            "peer_address",
            "admin_address",
            "log_address",
        )
        retention = section.read_duration(
            "log_retention_s", timedelta(days=1), _SECOND, 60, 366 * 86_400
        )
        interval = section.read_duration(
            "checkpoint_interval_s", retention / 4, _SECOND, 1, 366 * 86_400
        )
        if interval > retention / 2:
            section.diagnostics.add_error(
                section.get_offset("checkpoint_interval_s"),
                '"checkpoint_interval_s" is more than half of '
                '"log_retention_s"',
                f"write at most {retention // 2 // _SECOND}",
            )
        settings = cls(
            cluster=section.read_string("cluster", "", _check_not_empty),
            secret=section.read_string("secret", "", _check_not_empty),
            node_id=section.read_string("node_id", "", _check_not_empty),
            host=section.read_string("host", "", _check_not_empty),
            availability_zone=section.read_string(
                "availability_zone", "", _check_label
            ),
            caller_address=_read_address(section, "caller_address"),
            peer_address=_read_address(section, "peer_address"),
            admin_address=_read_address(section, "admin_address"),
            log_address=_read_address(section, "log_address"),
            seeds=tuple(section.read_strings("seeds", (), check_address)),
            log_level=section.read_string("log_level", "info", _check_level),
            shutdown_grace=section.read_duration(
                "shutdown_grace_ms",
                timedelta(seconds=30),
                _MILLISECOND,
                0,
                3_600_000,
            ),
            announcement_lease=section.read_duration(
                "announcement_lease_ms",
                timedelta(seconds=1.5),
                _MILLISECOND,
                50,
                60_000,
            ),
            log_retention=retention,
            checkpoint_interval=interval,
        )
        section.finish()
        return settings


def check_address(address: str) -> str | None:
    """Returns a suggested fix for an invalid address, or None if valid."""
    remedy = "write IP:PORT with a port from 1 to 65535, such as 192.0.2.7:4100"
    ip_address, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ip_address.startswith("[") else socket.AF_INET
    try:
        socket.inet_pton(family, ip_address.strip("[]"))
        is_port = port.isascii() and port.isdigit() and len(port) <= 5
    except (OSError, ValueError):
        return remedy
    return None if is_port and 1 <= int(port) <= 65_535 else remedy


def _read_address(section: Section, name: str) -> str:
    return section.read_string(name, "", check_address)


def _check_not_empty(value: str) -> str | None:
    return None if value else "write at least one character"


def _check_label(value: str) -> str | None:
    if HOST_LABEL.fullmatch(value):
        return None
    return "use letters a-z, digits and -, as in the configuration text"


def _check_level(level: str) -> str | None:
    return None if level in _LOG_LEVELS else suggest_name(level, _LOG_LEVELS)
