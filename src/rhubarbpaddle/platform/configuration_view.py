"""What the configuration in force means for one node."""

from collections.abc import Callable

from rhubarbpaddle.configuration.organisation_table import (
    NO_ORGANISATIONS,
    OrganisationTable,
)
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.configuration.service_limits import ServiceLimits
from rhubarbpaddle.membership.configuration_currency import (
    ConfigurationCurrency,
)
from rhubarbpaddle.platform.settings_file import SettingsFile


class ConfigurationView:
    """Applies the settings of this node to the configuration in force."""

    def __init__(
        self,
        get_configuration: Callable[[], RoutingConfiguration | None],
        currency: ConfigurationCurrency,
        settings_file: SettingsFile,
    ) -> None:
        """Creates a view.

        Args:
            get_configuration: Returns the configuration in force.
            currency: How long ago it was known to be the newest one.
            settings_file: The settings, which may change.
        """
        self._get_configuration = get_configuration
        self._currency = currency
        self._settings_file = settings_file
        # Reloaded settings do not replace it: until all nodes have the bound in
        # their settings, some neighbours don't confirm the configuration.
        self._revocation_deadline = settings_file.settings.revocation_deadline

    def is_in_service(self, availability_zone: str) -> bool:
        """Returns whether a zone may receive new requests."""
        cfg = self._get_configuration()
        return cfg is None or cfg.is_in_service(availability_zone)

    def get_organisations(self) -> OrganisationTable:
        """Returns the organisations of the configuration."""
        cfg = self._get_configuration()
        return NO_ORGANISATIONS if cfg is None else cfg.organisations

    def may_accept_keys(self) -> bool:
        """Returns whether the keys of the configuration may still be valid."""
        deadline = self._revocation_deadline
        return (
            deadline is None
            or self._currency.get_age() <= deadline.total_seconds()
        )

    def get_limits(self, service: str) -> ServiceLimits | None:
        """Returns the limits of a service, or None if it is unknown."""
        cfg = self._get_configuration()
        limits = cfg.services.get(service) if cfg else None
        if limits is None:
            return None
        # Operators tolerate this rate within a second. A part of what they
        # tolerate beyond it (`coldSlack`) stays unused, for requests whose
        # times of sending and of arrival differ.
        multiplier = self._settings_file.settings.cold_multiplier
        return limits._replace(cold_rate=limits.cold_rate * multiplier)
