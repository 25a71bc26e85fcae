"""The state in force as it is sent to a peer."""

from rhubarbpaddle.clock import Clock
from rhubarbpaddle.configuration.state_version import StateVersion
from rhubarbpaddle.platform.store_configuration_state import (
    StoreConfigurationState,
)


class AgedConfigurationText:
    """Creates the text with the ages of orders when it is sent."""

    def __init__(self, state: StoreConfigurationState, clock: Clock) -> None:
        self._state = state
        self._clock = clock

    @property
    def state_version(self) -> StateVersion:
        """The era, and the offset after the last record that is included."""
        return self._state.state_version

    @property
    def text(self) -> str:
        """The text with the present ages of the orders."""
        return self._state.get_text(self._clock.monotonic())

    @property
    def as_of(self) -> int:
        """The offset up to which the state is known to be the newest."""
        return self._state.state_version.number
