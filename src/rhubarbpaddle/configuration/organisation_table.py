"""Finds the organisation that a key belongs to."""

from collections.abc import Iterable, Iterator, Mapping
from typing import Self

from rhubarbpaddle.configuration.organisation import Organisation


class OrganisationTable:
    """The organisations of a configuration, by name and by key.

    A configuration without organisations asks callers for no keys.
    """

    def __init__(
        self,
        organisations: Mapping[str, Organisation],
        names_by_key: Mapping[str, str],
        keys_by_name: Mapping[str, frozenset[str]],
    ) -> None:
        """Creates a table.

        Args:
            organisations: The organisations by name.
            names_by_key: The name of the organisation that holds each key.
            keys_by_name: The keys of each organisation.
        """
        self._organisations = organisations
        self._names_by_key = names_by_key
        self._keys_by_name = keys_by_name

    @classmethod
    def from_entries(
        cls, entries: Iterable[tuple[Organisation, Iterable[str]]]
    ) -> Self:
        """Creates a table from organisations and their keys.

        Raises:
            ValueError: A name occurs twice, or two organisations have the same
                key. The message does not contain the key.
        """
        organisations: dict[str, Organisation] = {}
        names_by_key: dict[str, str] = {}
        keys_by_name: dict[str, frozenset[str]] = {}
        for organisation, keys in entries:
            if organisation.name in organisations:
                raise ValueError(f"two organisations {organisation.name!r}")
            organisations[organisation.name] = organisation
            own_keys = keys_by_name[organisation.name] = frozenset(keys)
            for key in own_keys:
                holder = names_by_key.setdefault(key, organisation.name)
                if holder != organisation.name:
                    raise ValueError(
                        f"organisations {holder!r} and"
                        f" {organisation.name!r} have the same key"
                    )
        return cls(organisations, names_by_key, keys_by_name)

    def __len__(self) -> int:
        return len(self._organisations)

    def __iter__(self) -> Iterator[Organisation]:
        return iter(self._organisations.values())

    def get(self, name: str) -> Organisation | None:
        """Returns an organisation by name, or None if there is none."""
        return self._organisations.get(name)

    def find_by_key(self, key: str) -> Organisation | None:
        """Returns the organisation that holds a key, or None."""
        name = self._names_by_key.get(key)
        return self._organisations[name] if name is not None else None

    def has_lost_key(self, name: str, earlier: "OrganisationTable") -> bool:
        """Returns whether an organisation held a key that it holds no longer.

        Args:
            name: The name of the organisation.
            earlier: The table that was in force before this one, or the same.
        """
        if earlier is self:
            return False
        no_keys: frozenset[str] = frozenset()
        earlier_keys = earlier._keys_by_name.get(name, no_keys)
        return not earlier_keys <= self._keys_by_name.get(name, no_keys)


NO_ORGANISATIONS = OrganisationTable({}, {}, {})
