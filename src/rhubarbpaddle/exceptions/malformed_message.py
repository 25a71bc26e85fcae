"""The error of a message that can't be decoded."""

from rhubarbpaddle.exceptions.protocol import ProtocolError


class MalformedMessageError(ProtocolError):
    """A message can't be decoded; those behind it can be received."""
