"""The state that operators have written to the store up to an offset."""

import json
import math
from typing import Any, NamedTuple, Self

from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.exceptions import ConfigurationError
from rhubarbpaddle.json_document import decode_json
from rhubarbpaddle.platform.configuration_document import (
    parse_configuration_document,
)
from rhubarbpaddle.platform.rollout_order_document import (
    ORDER_PREFIX,
    OrderEntry,
    make_order_entry,
    parse_order_entry,
)
from rhubarbpaddle.rollout.observed_order import ObservedOrder

CONFIGURATION_KEY = "config"
WITHDRAWAL_PREFIX = "evacuate/"


class StoreConfigurationState(NamedTuple):
    """What operators have written; peers exchange it as text.

    Attributes:
        state_version: The era, and the offset after the last record that it
            includes.
        document: The configuration document, or None if there is no valid one.
        configuration: The document's content and the withdrawn zones.
        orders: The orders of roll-outs.
        withdrawals: The keys of the withdrawn zones.
        lost: The keys of these and of orders that the store has lost since an
            earlier era and not got again.
        deleted: The keys that operators have deleted during the era, while the
            state is settling.
        era_began_at: Monotonic seconds at which a node first saw the era, or
            minus infinity if none has seen an earlier one.
    """

    state_version: StateVersion
    document: str | None = None
    configuration: RoutingConfiguration | None = None
    orders: tuple[ObservedOrder, ...] = ()
    withdrawals: frozenset[str] = frozenset()
    lost: frozenset[str] = frozenset()
    deleted: frozenset[str] = frozenset()
    era_began_at: float = -math.inf

    @classmethod
    def from_text(
        cls, text: str, version: StateVersion, now: float = 0.0
    ) -> Self:
        """Creates the state from the text that a peer sent.

        Args:
            text: The text.
            version: The version of the state.
            now: Monotonic seconds.

        Raises:
            ConfigurationError: The text is invalid.
        """
        try:
            content = decode_json(text, replace_invalid_text=True)
            document = content["configuration"]
            zones = [str(zone) for zone in content["withdrawn"]]
            entries: list[OrderEntry] = content.get("rollouts", [])
            orders = tuple(parse_order_entry(entry, now) for entry in entries)
            lost = frozenset(map(str, content.get("lost", ())))
            deleted = frozenset(map(str, content.get("deleted", ())))
            era_age = float(content.get("eraAgeMs", math.inf)) / 1000
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
            document,
            parse_configuration_document(document, zones),
            orders,
            frozenset(WITHDRAWAL_PREFIX + zone for zone in zones),
            lost,
            deleted,
            now - max(0.0, era_age),
        )

    def get_text(self, now: float) -> str:
        """Returns the text for peers, with the present ages of the orders.

        Args:
            now: Monotonic seconds.
        """
        # Earlier releases know the first three fields only.
        content: dict[str, Any] = {
            "configuration": self.document,
            "withdrawn": self.list_withdrawn_zones(),
        }
        if self.orders:
            content["rollouts"] = [
                make_order_entry(entry, now) for entry in self.orders
            ]
        if self.lost:
            content["lost"] = sorted(self.lost)
        if self.deleted:
            content["deleted"] = sorted(self.deleted)
        if self.era_began_at > -math.inf:
            content["eraAgeMs"] = max(
                0, round((now - self.era_began_at) * 1000)
            )
        return json.dumps(content)

    def list_withdrawn_zones(self) -> list[str]:
        """Returns the withdrawn zones, sorted."""
        return sorted(
            key.removeprefix(WITHDRAWAL_PREFIX) for key in self.withdrawals
        )

    def list_keys(self) -> frozenset[str]:
        """Returns the keys of the withdrawn zones and of the orders."""
        return self.withdrawals | {
            ORDER_PREFIX + entry.order.service for entry in self.orders
        }

    def get_records(self) -> dict[str, bytes]:
        """Returns the values of the keys that the store holds.

        Orders are kept apart from the records, because their age counts.
        The value of a withdrawn zone is replaced by an empty object.
        """
        records = dict.fromkeys(self.withdrawals - self.lost, b"{}")
        if self.document is not None:
            records[CONFIGURATION_KEY] = self.document.encode()
        return records
