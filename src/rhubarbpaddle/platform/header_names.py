"""Names of the platform's HTTP headers, in lower case."""

# The caller's key of an organisation, after the scheme `Token`.
AUTHORIZATION = b"authorization"
# The organisation that a request belongs to.
ORGANISATION = b"tenant-id"
# Identifies a request; each attempt of a caller has its own id.
REQUEST_ID = b"request-id"
# Milliseconds for which the sender waits for the response.
DEADLINE = b"deadline-ms"
# The instance for which a request is meant; any other refuses it.
EXPECTED_INSTANCE = b"expected-instance"
# The service on the host where the request originated.
CALLING_SERVICE = b"caller-service"
# The instance's signature of a response; a response without it is a node's.
SIGNATURE = b"server-signature"
# Present if the instance refused the request and did not run it.
NOT_RUN = b"not-executed"
# Requests running, requests queued, slots, and optionally the slowdown factor
# in percent (100 means not slowed down).
LOAD = b"server-load"
INSTANCE = b"instance-id"
# Milliseconds for which the instance remains cold.
COLD = b"cold-ms"
