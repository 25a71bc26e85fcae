"""The state that operators have written to the store up to an offset."""

import json
from collections.abc import Iterable, Mapping
from typing import NamedTuple, Self

from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)
from rhubarbpaddle.platform.rollout_order_document import (
    OrderEntry,
    make_order_entry,
    parse_order_entry,
)
from rhubarbpaddle.rollout.observed_order import ObservedOrder

_CONFIGURATION_KEY = "config"
_WITHDRAWAL_PREFIX = "evacuate/"


class StoreConfigurationState(NamedTuple):
    """What operators have written; peers exchange it as text.

    Attributes:
        version: The offset after the last record that it includes.
        text: The configuration document and the withdrawn zones, as JSON.
        configuration: The parsed form of both.
        orders: The orders of roll-outs, which the text includes with their
            ages.
    """

    version: int
    text: str
    configuration: RoutingConfiguration
    orders: tuple[ObservedOrder, ...] = ()

    @property
    def as_of(self) -> int:
        """The offset up to which this state is known to be the newest."""
        return self.version

    @classmethod
    def from_records(
        cls,
        records: Mapping[str, bytes],
        end: int,
        orders: Iterable[ObservedOrder] = (),
        now: float = 0.0,
    ) -> Self:
        """Creates the state from the records of all keys.

        Args:
            records: The newest value of each key.
            end: The offset after the last record.
            orders: The orders of roll-outs.
            now: Monotonic seconds.

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
        content: dict[str, object] = {
            "configuration": document.decode("utf-8", "replace"),
            "withdrawn": zones,
        }
        if entries := [make_order_entry(entry, now) for entry in orders]:
            content["rollouts"] = entries
        return cls.from_text(json.dumps(content), end, now)

    @classmethod
    def from_text(cls, text: str, version: int, now: float = 0.0) -> Self:
        """Creates the state from the text that a peer sent.

        Args:
            text: The text.
            version: The offset after the last record that it includes.
            now: Monotonic seconds.

        Raises:
            ConfigurationError: The text is invalid.
        """
        try:
            document = decode_json(text, replace_invalid_text=True)
            configuration = document["configuration"]
            zones = document["withdrawn"]
            entries: list[OrderEntry] = document.get("rollouts", [])
            orders = tuple(parse_order_entry(entry, now) for entry in entries)
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            OverflowError,
        ) as exc:
            raise ConfigurationError(
                [f"invalid state text: {exc!r}"], step="parse_configuration"
            ) from exc
        return cls(
            version,
            text,
            parse_configuration_document(configuration, zones),
            orders,
        )

    def get_current_text(self, now: float) -> str:
        """Returns the text with the present ages of the orders.

        Args:
            now: Monotonic seconds.
        """
        if not self.orders:
            return self.text
        content = json.loads(self.text)
        content["rollouts"] = [
            make_order_entry(entry, now) for entry in self.orders
        ]
        return json.dumps(content)

    def get_records(self) -> dict[str, bytes]:
        """Returns the values of all keys from which the state was created.

        Orders are kept apart from the records, because their age counts.
        The value of a withdrawn zone is replaced by an empty object.
        """
        document = json.loads(self.text)
        withdrawn = {
            f"{_WITHDRAWAL_PREFIX}{zone}": b"{}"
            for zone in document["withdrawn"]
        }
        configuration = document["configuration"].encode()
        return {_CONFIGURATION_KEY: configuration, **withdrawn}
