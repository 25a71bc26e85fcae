"""Checks the keys of organisations that callers send."""

import re
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import h11

from rhubarbpaddle.configuration.route import Route
from rhubarbpaddle.configuration.routing_configuration import (
    RoutingConfiguration,
)
from rhubarbpaddle.exceptions import RefusedError
from rhubarbpaddle.platform import header_names
from rhubarbpaddle.platform.authorization import NO_KEY_NEEDED, Authorization
from rhubarbpaddle.platform.key_permission import KeyPermission
from rhubarbpaddle.platform.key_refusal import make_unknown_key_refusal
from rhubarbpaddle.platform.public_path import is_below_prefix

_KEY = re.compile(rb"token +([!-~]+) *", re.IGNORECASE)
# About the time that another reader takes to confirm the configuration.
_RETRY_AFTER = timedelta(seconds=1)


class KeyCheck:
    """Finds the organisation of a request by its key.

    Attributes:
        refusals: How many requests were refused because their key was
            `missing`, `unknown`, or `withdrawn` while they waited, or because
            the keys of the configuration were `unconfirmed`.
    """

    def __init__(
        self,
        get_configuration: Callable[[], RoutingConfiguration | None],
        may_accept_keys: Callable[[], bool],
    ) -> None:
        """Creates a check.

        Args:
            get_configuration: Returns the configuration in force.
            may_accept_keys: Returns whether its keys may be accepted although
                later versions may have taken them away.
        """
        self._get_configuration = get_configuration
        self._may_accept_keys = may_accept_keys
        self.refusals: Counter[str] = Counter()

    def authorize(
        self, cfg: RoutingConfiguration, route: Route, head: h11.Request
    ) -> Authorization:
        """Returns what a request is entitled to.

        Args:
            cfg: The configuration in force.
            route: The route of the request.
            head: The head of the request.

        Raises:
            RefusedError: The request needs a key, and it does not carry exactly
                one that an organisation holds, or the keys may be outdated.
        """
        if not cfg.organisations:
            return NO_KEY_NEEDED
        key = _find_key(head)
        organisation = (
            cfg.organisations.find_by_key(key) if key is not None else None
        )
        if route.public and is_below_prefix(head.target.decode("ascii")):
            return Authorization(organisation)
        if organisation is None or key is None:
            self.refusals["missing" if key is None else "unknown"] += 1
            raise make_unknown_key_refusal()
        if not self._may_accept_keys():
            self.refusals["unconfirmed"] += 1
            raise RefusedError(
                "keys_unconfirmed",
                "the configuration's keys were not confirmed in time",
                step="authorize",
                retry_after=_RETRY_AFTER,
            )
        return Authorization(
            organisation,
            KeyPermission(
                organisation.name,
                key,
                self._get_configuration,
                self._record_withdrawn,
            ),
        )

    def _record_withdrawn(self) -> None:
        self.refusals["withdrawn"] += 1


def _find_key(head: h11.Request) -> str | None:
    """Returns the key that a request carries, or None without exactly one."""
    values = [
        value
        for name, value in head.headers
        if name == header_names.AUTHORIZATION
    ]
    match = _KEY.fullmatch(values[0]) if len(values) == 1 else None
    return match[1].decode("ascii") if match else None
