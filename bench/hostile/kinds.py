"""The kinds of hostile remote ends that the benchmark runs."""

import itertools
import json
import struct

import msgspec

from bench.hostile.peer_opening import PeerOpening
from bench.hostile.port_opening import PortOpening
from bench.hostile.remote_end import RemoteEnd
from rhubarbpaddle.peer.messages import Heartbeat, Message, UsageRequest
from rhubarbpaddle.usage.usage_query import UsageQuery
from soak.configuration_history import make_key
from soak.host import SERVICE
from standins.endless_instance import FORMS

# The ports of `SoakHost`, and that of metrics.
_CALLER, _CONTROL, _READINESS, _METRICS = 7004, 7005, 7007, 9464
# Requests of others use the keys of other organisations.
_ORGANISATION = "cedar"
_REPORT = {
    "service": SERVICE,
    "address": "-",
    "zone": "-",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
    "born": 1,
}


def _make_head(line: str, *headers: str, host: str = "club.example") -> bytes:
    fields = (
        f"host: {host}",
        f"authorization: Token {make_key(_ORGANISATION)}",
        "deadline-ms: 1000",
    )
    lines = (f"{line} HTTP/1.1", *fields, *headers, "", "")
    return "\r\n".join(lines).encode()


def _make_frames(message: Message, count: int) -> bytes:
    body = msgspec.msgpack.encode(message)
    return (struct.pack(">I", len(body)) + body) * count


def _encode_chunks(*sizes: int) -> bytes:
    return b"".join(b"%x\r\n%b\r\n" % (size, b"a" * size) for size in sizes)


def _list_callers() -> list[RemoteEnd]:
    request_id = "request-id: two"
    upload = PortOpening(
        _CALLER,
        _make_head("PUT /lanes/x", request_id, "transfer-encoding: chunked"),
    )
    large = _make_head(
        "GET /lanes/large/900000", request_id, host="archive.example"
    )
    short = _make_head("GET /lanes/x", request_id)
    # Differing extensions in turn.
    extended = b"".join(b"1;%x\r\na\r\n" % (i // 2) for i in range(2000))
    opening = PortOpening(_CALLER)
    return [
        RemoteEnd("caller: 1-byte chunks", upload, _encode_chunks(1) * 2000),
        RemoteEnd(
            "caller: 1- and 2-byte chunks", upload, _encode_chunks(1, 2) * 1000
        ),
        RemoteEnd(
            "caller: 1- to 16-byte chunks",
            upload,
            _encode_chunks(*range(1, 17)) * 60,
        ),
        RemoteEnd("caller: changing chunk extensions", upload, extended),
        RemoteEnd(
            "caller: 1 byte/s", upload, _encode_chunks(1), pause_seconds=1.0
        ),
        RemoteEnd("caller: never reads 900 kB", PortOpening(_CALLER, large)),
        RemoteEnd("caller: pipelines, never reads", opening, short * 100),
        RemoteEnd(
            "caller: pipelines refused, never reads",
            opening,
            short.replace(b"Token", b"Other") * 100,
        ),
        RemoteEnd(
            "caller: pipelines refused, reads",
            opening,
            short.replace(b"Token", b"Other") * 100,
            reads=True,
        ),
    ]


def _list_instances() -> list[RemoteEnd]:
    request = _make_head("GET /lanes/x", "request-id: one", "connection: close")
    opening = PortOpening(_CALLER, request)
    return [
        RemoteEnd(f"instance: {form}", opening, reads=True, form=form)
        for form in FORMS
    ]


def _list_peers() -> list[RemoteEnd]:
    query = _make_frames(UsageRequest(UsageQuery(_ORGANISATION, 0)), 2000)
    heartbeats = _make_frames(Heartbeat(0, 0), 2000)
    return [
        RemoteEnd("peer: heartbeats", PeerOpening("control"), heartbeats, True),
        RemoteEnd(
            "peer: usage queries, never reads", PeerOpening("usage"), query
        ),
        RemoteEnd(
            "peer: usage queries, reads", PeerOpening("usage"), query, True
        ),
    ]


def _list_admin() -> list[RemoteEnd]:
    content = json.dumps(_REPORT)
    report = (
        _make_head(
            "POST /instances/i-h0-0/heartbeat",
            f"content-length: {len(content)}",
        )
        + content.encode()
    )
    scrape = _make_head("GET /metrics")
    return [
        *(
            RemoteEnd(
                f"{name}, {'reads' if reads else 'never reads'}",
                PortOpening(port),
                request * 50,
                reads,
            )
            for (name, port, request), reads in itertools.product(
                (
                    ("control: reports", _CONTROL, report),
                    ("readiness: checks", _READINESS, _make_head("GET /ready")),
                    ("metrics: scrapes", _METRICS, scrape),
                ),
                (False, True),
            )
        ),
        RemoteEnd(
            "metrics: 100 connections, 1 scrape each, never read",
            PortOpening(_METRICS, scrape),
            connections=100,
        ),
    ]


def list_kinds() -> list[RemoteEnd]:
    """Returns one remote end of each kind."""
    return [
        *_list_callers(),
        *_list_instances(),
        *_list_peers(),
        *_list_admin(),
    ]
