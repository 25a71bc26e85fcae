"""What callers sent and what instances ran, with the soak's clock."""

from typing import NamedTuple


class SentRequest(NamedTuple):
    """A request and its end, as its caller saw them.

    Attributes:
        request_id: Unique for each attempt.
        host: The host whose node it was sent to.
        idempotent: Whether it may run more than once.
        is_current: Whether its path belongs to the newest configuration that
            was accepted 2 s before it was sent, and to all later ones.
        sent_at: When its last byte was sent; seconds.
        ended_at: When the answer or the end of the connection came.
        status: The answer's status; 0 if there was none.
        body: The answer's body.
        is_signed: Whether the answer bears an instance's signature.
        has_left: Whether the caller closed its connection, at `ended_at`,
            without waiting for the answer.
    """

    request_id: str
    host: str
    idempotent: bool
    is_current: bool
    sent_at: float
    ended_at: float
    status: int
    body: bytes
    is_signed: bool
    has_left: bool = False


class Run(NamedTuple):
    """A request that an instance began to run.

    Attributes:
        request_id: The request's id.
        host: The instance's host.
        instance: The instance's id.
        started_at: When it began; seconds.
        is_cold: Whether the instance was in its cold start.
    """

    request_id: str
    host: str
    instance: str
    started_at: float
    is_cold: bool


class Fault(NamedTuple):
    """An event that the soak caused.

    Attributes:
        name: What it is.
        host: Where, or the empty string for the store.
        started_at: When it began; seconds.
        ended_at: When it was over.
        is_planned: Whether operators do this on purpose: a stop by SIGTERM,
            a reload, a change of the configuration, a leaving instance.
    """

    name: str
    host: str
    started_at: float
    ended_at: float
    is_planned: bool
