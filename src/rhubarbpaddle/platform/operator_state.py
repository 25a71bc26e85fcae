"""What operators have written to the store, through one offset."""

import json
from collections.abc import Mapping
from typing import NamedTuple, Self

from rhubarbpaddle.configuration import RoutingConfiguration
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)

_CONFIGURATION_KEY = "config"
_WITHDRAWAL_PREFIX = "evacuate/"


class OperatorState(NamedTuple):
    """The configuration in force; peers exchange it as a text.

    Attributes:
        version: The offset after the last record that it rests on.
        text: The record of the configuration and the withdrawn zones.
        configuration: The checked form of both.
    """

    version: int
    text: str
    configuration: RoutingConfiguration

    @property
    def as_of(self) -> int:
        """The offset through which it is known to be the newest."""
        return self.version

    @classmethod
    def from_records(cls, records: Mapping[str, bytes], end: int) -> Self:
        """Makes the state of all keys.

        Args:
            records: The newest value of each key.
            end: The offset after the last record.

        Raises:
            ConfigurationError: There is no valid configuration.
        """
        document = records.get(_CONFIGURATION_KEY)
        if document is None:
            raise ConfigurationError(
                "there is no configuration yet", step="parse_configuration"
            )
        zones = sorted(
            key.removeprefix(_WITHDRAWAL_PREFIX)
            for key, value in records.items()
            if key.startswith(_WITHDRAWAL_PREFIX) and value
        )
        text = json.dumps(
            {
                "configuration": document.decode("utf-8", "replace"),
                "withdrawn": zones,
            }
        )
        return cls.from_text(text, end)

    @classmethod
    def from_text(cls, text: str, version: int) -> Self:
        """Makes the state from what a peer sent.

        Raises:
            ConfigurationError: The text is invalid.
        """
        try:
            document = json.loads(text)
            configuration = document["configuration"]
            zones = document["withdrawn"]
        except (ValueError, KeyError, TypeError) as exc:
            raise ConfigurationError(
                f"the text can't be read: {exc!r}", step="parse_configuration"
            ) from exc
        return cls(
            version, text, parse_configuration_document(configuration, zones)
        )

    def get_records(self) -> dict[str, bytes]:
        """Returns the values that the state was made of."""
        document = json.loads(self.text)
        withdrawn = {
            f"{_WITHDRAWAL_PREFIX}{zone}": b"{}"
            for zone in document["withdrawn"]
        }
        configuration = document["configuration"].encode()
        return {_CONFIGURATION_KEY: configuration, **withdrawn}
