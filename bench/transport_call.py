"""Messages that both transports of the benchmark carry."""

import msgspec

from rhubarbpaddle.peer.messages import Call, Message, ResponseHead

METHOD = "/bench.Exchange/Run"

CALL = Call(
    request_id="0123456789abcdef",
    organisation="club",
    service="lanes",
    instance="lanes-a",
    incarnation=1,
    method="GET",
    target="/availability",
    headers=[(b"host", b"lanes"), (b"accept", b"application/json")],
    remaining_ms=10_000,
    idempotent=True,
    key="",
    attempt=1,
    depth=0,
    may_queue=True,
    claim="",
    fingerprint="",
    configuration_version=1,
    body=b"",
    body_length=0,
)
RESPONSE = ResponseHead(
    request_id=CALL.request_id,
    status=200,
    headers=[(b"content-type", b"application/json")],
    report=None,
    body=b"x" * 100,
    body_length=100,
)

encoder = msgspec.msgpack.Encoder()
decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
