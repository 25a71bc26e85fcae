"""The settings of the operators' commands."""

import os
from pathlib import Path
from typing import NamedTuple, Self

from rhubarbpaddle.configuration.diagnostic_collector import DiagnosticCollector
from rhubarbpaddle.configuration.section import Section
from rhubarbpaddle.configuration.text_scanner import TextScanner
from rhubarbpaddle.exceptions import SettingsError
from rhubarbpaddle.node.settings import check_address

_STEP = "load_client_settings"
ENVIRONMENT_VARIABLE = "RHUBARBPADDLE_CLIENT"
DEFAULT_PATH = Path("~/.config/rhubarbpaddle/client.json")


class ClientSettings(NamedTuple):
    """The addresses that the operators' commands connect to.

    Attributes:
        log_address: `IP:PORT` of the platform's log, or the empty string.
        node_address: `IP:PORT` of the admin address of any node, or the empty
            string.
    """

    log_address: str = ""
    node_address: str = ""

    @classmethod
    def from_config(cls, text: str, name: str = "settings") -> Self:
        """Creates settings from JSON with comments.

        Args:
            text: The content of the settings file.
            name: The name of the file for error messages.

        Raises:
            SettingsError: A key is unknown or has a wrong value.
        """
        diagnostics = DiagnosticCollector(text)
        value = TextScanner(text, diagnostics).scan()
        settings = cls()
        if value is not None:
            section = Section(value, "the settings", diagnostics)
            settings = cls(
                section.read_string("log_address", "", check_address),
                section.read_string("node_address", "", check_address),
            )
            section.finish()
        if diagnostics.errors:
            detail = "; ".join(diagnostics.list_errors())
            raise SettingsError(detail, step=_STEP, peer=name)
        return settings

    @classmethod
    def from_file(cls, path: Path | None) -> Self:
        """Loads the settings file.

        Args:
            path: The file; if None, the one that `RHUBARBPADDLE_CLIENT` names,
                or else the default one if it exists.

        Raises:
            SettingsError: The file can't be read or is invalid.
        """
        requested_path = path or os.environ.get(ENVIRONMENT_VARIABLE)
        settings_path = Path(requested_path or DEFAULT_PATH).expanduser()
        if requested_path is None and not settings_path.exists():
            return cls()
        try:
            text = settings_path.read_text(encoding="utf-8")
        except (OSError, ValueError) as exc:
            raise SettingsError(
                str(exc), step=_STEP, peer=str(settings_path)
            ) from exc
        return cls.from_config(text, str(settings_path))

    def override(self, log: str | None, node: str | None) -> Self:
        """Returns these settings with the addresses given as options.

        Raises:
            SettingsError: An address is not `IP:PORT`.
        """
        for option, address in (("--log", log), ("--node", node)):
            if address and (problem := check_address(address)):
                raise SettingsError(
                    f"{option} {address}: {problem}", step=_STEP, peer=option
                )
        return self._replace(
            log_address=log or self.log_address,
            node_address=node or self.node_address,
        )
