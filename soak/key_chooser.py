"""Chooses the keys that a caller sends."""

import random

from soak.configuration_history import ConfigurationHistory, make_key
from soak.key_state import KeyState

# The shares of requests whose key was withdrawn or is unknown.
_WITHDRAWN_PROBABILITY = 0.05
_UNKNOWN_PROBABILITY = 0.03


class KeyChooser:
    """Chooses among the keys of an organisation, and unknown ones."""

    def __init__(
        self,
        organisation: str,
        configurations: ConfigurationHistory,
        rng: random.Random,
    ) -> None:
        """Creates a chooser.

        Args:
            organisation: The organisation that the caller belongs to.
            configurations: The configurations that operators published.
            rng: The random number generator.
        """
        self._organisation = organisation
        self._configurations = configurations
        self._rng = rng

    def choose_state(self) -> KeyState:
        """Chooses the state of the key of a request."""
        choice = self._rng.random()
        if choice < _UNKNOWN_PROBABILITY:
            return KeyState.UNKNOWN
        if choice < _UNKNOWN_PROBABILITY + _WITHDRAWN_PROBABILITY:
            return KeyState.WITHDRAWN
        return KeyState.KNOWN

    def choose(
        self, state: KeyState, is_newest: bool, now: float
    ) -> tuple[str, KeyState]:
        """Returns a key and its state.

        Args:
            state: The state that it should have. If no key has been withdrawn,
                a known one is returned in its place.
            is_newest: Whether a known key is the newest that must be in force,
                or the permanent one.
            now: The time, in seconds.
        """
        if state is KeyState.UNKNOWN:
            return make_key("nobody"), state
        if state is KeyState.WITHDRAWN:
            withdrawn = self._configurations.find_withdrawn_key(
                self._organisation, now
            )
            if withdrawn is not None:
                return withdrawn, state
        if is_newest:
            newest = self._configurations.get_newest_key(
                self._organisation, now
            )
            return newest, KeyState.KNOWN
        return make_key(self._organisation), KeyState.KNOWN
