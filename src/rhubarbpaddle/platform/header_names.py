"""The platform's headers, in lower case."""

# Names a request; each attempt of a caller has its own.
REQUEST_ID = b"request-id"
# Milliseconds that the sender will wait for the answer.
DEADLINE = b"deadline-ms"
# The instance that a request is meant for; any other refuses it.
EXPECTED_INSTANCE = b"expected-instance"
# The service on the host where a request began.
CALLING_SERVICE = b"caller-service"
# Bears the instance's mark of an answer; its presence shows who answered.
SIGNATURE = b"server-signature"
# Marks a refusal of an instance that did not run the request.
NOT_RUN = b"not-executed"
# Requests running, waiting, slots, and the pace in percent of the usual.
LOAD = b"server-load"
INSTANCE = b"instance-id"
# Milliseconds that the instance stays cold.
COLD = b"cold-ms"
