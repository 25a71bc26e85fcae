"""The permission that the key of an organisation gives."""

from collections.abc import Callable

from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.platform.key_refusal import make_unknown_key_refusal


class KeyPermission:
    """Ends when the configuration in force no longer holds the key.

    It stays on the node that read the request. It is not a tuple, because the
    representation of one would show the key.
    """

    def __init__(
        self,
        organisation: str,
        key: str,
        get_configuration: Callable[[], RoutingConfiguration | None],
        on_withdrawn: Callable[[], None],
    ) -> None:
        """Creates the permission of one request.

        Args:
            organisation: The organisation that held the key.
            key: The key.
            get_configuration: Returns the configuration in force.
            on_withdrawn: Called when the request is refused.
        """
        self._organisation = organisation
        self._key = key
        self._get_configuration = get_configuration
        self._on_withdrawn = on_withdrawn

    def check(self) -> None:
        """Checks that the organisation still holds the key.

        Raises:
            RefusedError: It does not.
        """
        cfg = self._get_configuration()
        if cfg is None or not cfg.organisations:
            return
        organisation = cfg.organisations.find_by_key(self._key)
        if organisation is None or organisation.name != self._organisation:
            self._on_withdrawn()
            raise make_unknown_key_refusal()
