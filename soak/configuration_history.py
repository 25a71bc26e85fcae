"""The configurations of a run, each with a new path and new keys."""

import json
from collections.abc import Sequence
from typing import Any

from soak.published_configuration import PublishedConfiguration
from standins.platform_documents import (
    make_configuration_document,
    make_organisation_entry,
    make_route_entry,
)

PERMANENT_PREFIX = "/lanes/"
ORGANISATIONS = ("amber", "birch", "cedar")
# Nodes apply a published configuration within this time.
CONFIGURATION_DELAY_SECONDS = 2.0
# A key stays valid for this time after the next configuration was published, so
# that it is not withdrawn while callers use it as the newest one in force.
_KEY_OVERLAP_SECONDS = 2.5
# About twice the usual demand of an organisation, and below that of a surge.
_CAP_PER_HOST = 8.0
_HOSTS_BY_KIND = {
    "idempotent": "club.example",
    "non_idempotent": "desk.example",
    "download": "archive.example",
}


class ConfigurationHistory:
    """Creates configurations, and knows which must be in force.

    Attributes:
        cap: The usage cap of each organisation in requests per second; its
            burst is as large.
    """

    def __init__(
        self,
        service: str,
        hosts: int,
        cold_per_second: float,
        cold_seconds: float,
        organisations: Sequence[str] = ORGANISATIONS,
    ) -> None:
        """Creates an empty history.

        Args:
            service: The service that all routes use.
            hosts: The number of hosts that have callers.
            cold_per_second: The rate of a cold instance.
            cold_seconds: The duration of a cold start.
            organisations: The names of the organisations; none if empty.
        """
        self.cap = _CAP_PER_HOST * hosts
        self._service = service
        self._cold_per_second = cold_per_second
        self._cold_seconds = cold_seconds
        self._organisations = organisations
        self._published: list[PublishedConfiguration] = []

    def publish(self, now: float) -> bytes:
        """Returns a configuration with a new path and a new key.

        Args:
            now: The time, in seconds.
        """
        number = len(self._published)
        oldest_overlap = now - _KEY_OVERLAP_SECONDS
        kept = [
            earlier
            for earlier in range(number)
            if earlier + 1 == number
            or self._published[earlier + 1].published_at > oldest_overlap
        ]
        self._published.append(
            PublishedConfiguration(now, f"/v{number}/", (*kept, number))
        )
        return json.dumps(self._make_document(number)).encode()

    def get_newest_prefix(self, now: float) -> str:
        """Returns the newest path prefix that must be in force."""
        number = self._find_in_force(now)
        return PERMANENT_PREFIX if number is None else f"/v{number}/"

    def get_newest_key(self, organisation: str, now: float) -> str:
        """Returns an organisation's newest key that must be in force."""
        return make_key(organisation, self._find_in_force(now))

    def find_withdrawn_key(self, organisation: str, now: float) -> str | None:
        """Returns the newest key that must have been withdrawn, if any."""
        number = self._find_in_force(now)
        if number is None:
            return None
        withdrawn = set(range(number)) - set(
            self._published[number].key_numbers
        )
        return make_key(organisation, max(withdrawn)) if withdrawn else None

    def _find_in_force(self, now: float) -> int | None:
        published_before = now - CONFIGURATION_DELAY_SECONDS
        return max(
            (
                number
                for number, entry in enumerate(self._published)
                if entry.published_at <= published_before
            ),
            default=None,
        )

    def _make_document(self, number: int) -> dict[str, Any]:
        newest = self._published[-1]
        prefixes = [entry.prefix for entry in self._published]
        entries = [
            make_route_entry(
                f"{kind}{prefix}",
                host,
                prefix,
                kind,
                self._service,
                timeoutMs=2000,
            )
            for prefix in (PERMANENT_PREFIX, *prefixes)
            for kind, host in _HOSTS_BY_KIND.items()
        ]
        entries += [
            make_organisation_entry(
                organisation,
                [
                    make_key(organisation, key_number)
                    for key_number in (None, *newest.key_numbers)
                ],
                ratePerS=self.cap,
                burst=self.cap,
            )
            for organisation in self._organisations
        ]
        return make_configuration_document(
            number + 1,
            entries,
            self._service,
            self._cold_per_second,
            self._cold_seconds,
        )


def make_key(organisation: str, number: int | None = None) -> str:
    """Returns a key.

    Args:
        organisation: The organisation that it belongs to.
        number: The number of the configuration that added it; None for the key
            that every configuration has.
    """
    suffix = "permanent" if number is None else str(number)
    return f"key-{organisation}-{suffix}"
