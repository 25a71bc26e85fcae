"""What a request is entitled to."""

from typing import NamedTuple

from rhubarbpaddle.configuration.organisation import Organisation
from rhubarbpaddle.execution.permanent_permission import PERMANENT_PERMISSION
from rhubarbpaddle.execution.request_permission import RequestPermission


class Authorization(NamedTuple):
    """The result of the check of a request's key.

    Attributes:
        organisation: The organisation that holds the key, or None if the
            request needs none and has no known one.
        permission: Ends when the organisation no longer holds the key.
    """

    organisation: Organisation | None = None
    permission: RequestPermission = PERMANENT_PERMISSION


NO_KEY_NEEDED = Authorization()
