"""The exception hierarchy; each error has a code, a step and a peer."""

from rhubarbpaddle.exceptions.append_unknown import AppendUnknownError
from rhubarbpaddle.exceptions.base import RhubarbpaddleError
from rhubarbpaddle.exceptions.configuration import ConfigurationError
from rhubarbpaddle.exceptions.log_unavailable import LogUnavailableError
from rhubarbpaddle.exceptions.malformed_message import MalformedMessageError
from rhubarbpaddle.exceptions.peer_silent import PeerSilentError
from rhubarbpaddle.exceptions.protocol import ProtocolError
from rhubarbpaddle.exceptions.refused import RefusedError
from rhubarbpaddle.exceptions.settings import SettingsError
from rhubarbpaddle.exceptions.truncated import TruncatedError
from rhubarbpaddle.exceptions.unsendable import UnsendableError

__all__ = [
    "AppendUnknownError",
    "ConfigurationError",
    "LogUnavailableError",
    "MalformedMessageError",
    "PeerSilentError",
    "ProtocolError",
    "RefusedError",
    "RhubarbpaddleError",
    "SettingsError",
    "TruncatedError",
    "UnsendableError",
]
