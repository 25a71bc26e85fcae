"""The state that operators have written to the store up to an offset."""

import json
from collections.abc import Mapping
from typing import NamedTuple, Self

from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)

_CONFIGURATION_KEY = "config"
_WITHDRAWAL_PREFIX = "evacuate/"


class StoreConfigurationState(NamedTuple):
    """The configuration and withdrawn zones; peers exchange them as text.

    Attributes:
        version: The offset after the last record that it includes.
        text: The configuration document and the withdrawn zones, as JSON.
        configuration: The parsed form of both.
    """

    version: int
    text: str
    configuration: RoutingConfiguration

    @property
    def as_of(self) -> int:
        """The offset up to which this state is known to be the newest."""
        return self.version

    @classmethod
    def from_records(cls, records: Mapping[str, bytes], end: int) -> Self:
        """Creates the state from the records of all keys.

        Args:
            records: The newest value of each key.
            end: The offset after the last record.

        Raises:
            ConfigurationError: The configuration is missing or invalid.
        """
        document = records.get(_CONFIGURATION_KEY)
        if document is None:
            raise ConfigurationError(
                ["the store holds no configuration"],
                step="parse_configuration",
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
        """Creates the state from the text that a peer sent.

        Raises:
            ConfigurationError: The text is invalid.
        """
        try:
            document = decode_json(text)
            configuration = document["configuration"]
            zones = document["withdrawn"]
        except (ValueError, KeyError, TypeError) as exc:
            raise ConfigurationError(
                [f"invalid state text: {exc!r}"], step="parse_configuration"
            ) from exc
        return cls(
            version, text, parse_configuration_document(configuration, zones)
        )

    def get_records(self) -> dict[str, bytes]:
        """Returns the values of all keys from which the state was created.

        The value of a withdrawn zone is replaced by an empty object.
        """
        document = json.loads(self.text)
        withdrawn = {
            f"{_WITHDRAWAL_PREFIX}{zone}": b"{}"
            for zone in document["withdrawn"]
        }
        configuration = document["configuration"].encode()
        return {_CONFIGURATION_KEY: configuration, **withdrawn}
