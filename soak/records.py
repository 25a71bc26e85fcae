"""Records of requests, runs and faults, all timed by one clock."""

from typing import NamedTuple

from soak.key_state import KeyState

# The name of the fault in which the store comes back from an older copy.
DRILL = "drill_store"


class SentRequest(NamedTuple):
    """A request and its result, as observed by its caller.

    Attributes:
        request_id: The id, which no other request has.
        host: The host whose node it was sent to.
        idempotent: Whether the request may run more than once.
        uses_newest_path: Whether its path was added by the newest configuration
            that was published at least 2 s before. Otherwise the path is in
            every configuration.
        sent_at: When the caller began to send it, in seconds.
        ended_at: When the response was complete or the connection ended.
        status: The status of the response; 0 if there was none.
        body: The body of the response.
        is_signed: Whether the response has an instance's signature.
        is_abandoned: Whether the caller closed its connection, at `ended_at`,
            without waiting for the response.
        request_body: The body that was sent with the request.
        organisation: The organisation that the caller belongs to.
        key_state: Whether the key that was sent belongs to the organisation.
        large_length: The length of the large response, or 0 if it is short.
        is_pipelined: Whether it was sent together with others.
    """

    request_id: str
    host: str
    idempotent: bool
    uses_newest_path: bool
    sent_at: float
    ended_at: float
    status: int
    body: bytes
    is_signed: bool
    is_abandoned: bool = False
    request_body: bytes = b""
    organisation: str = ""
    key_state: KeyState = KeyState.KNOWN
    large_length: int = 0
    is_pipelined: bool = False


class Run(NamedTuple):
    """A run of a request by an instance.

    Attributes:
        request_id: The request's id.
        host: The instance's host.
        instance: The instance's id.
        started_at: When it started, in seconds.
        is_cold: Whether the instance was in its cold start.
        body: The body of the request.
        organisation: The organisation that the instance was told, or empty.
        has_key: Whether the instance received a key.
        version: The instance's version.
    """

    request_id: str
    host: str
    instance: str
    started_at: float
    is_cold: bool
    body: bytes = b""
    organisation: str = ""
    has_key: bool = False
    version: str = "v1"


class Fault(NamedTuple):
    """An injected fault or a planned operation.

    Attributes:
        name: The kind of fault.
        host: The host that was chosen, even if the fault affects all hosts.
        started_at: When it started, in seconds.
        ended_at: When it ended.
        is_planned: Whether operators do this on purpose: a stop by SIGTERM,
            a reload, a change of the configuration, a leaving instance.
        permits_failures: Whether requests may fail, or changes come into force
            late, because of an unplanned fault.
    """

    name: str
    host: str
    started_at: float
    ended_at: float
    is_planned: bool
    permits_failures: bool = True
