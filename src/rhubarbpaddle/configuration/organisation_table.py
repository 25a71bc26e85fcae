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
    ) -> None:
        """Creates a table.

        Args:
            organisations: The organisations by name.
            names_by_key: The name of the organisation that holds each key.
        """
        self._organisations = organisations
        self._names_by_key = names_by_key

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
        for organisation, keys in entries:
            if organisation.name in organisations:
                raise ValueError(f"two organisations {organisation.name!r}")
            organisations[organisation.name] = organisation
            for key in keys:
                holder = names_by_key.setdefault(key, organisation.name)
                if holder != organisation.name:
                    raise ValueError(
                        f"organisations {holder!r} and"
                        f" {organisation.name!r} have the same key"
                    )
        return cls(organisations, names_by_key)

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


NO_ORGANISATIONS = OrganisationTable({}, {})
