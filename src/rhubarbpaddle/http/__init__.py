"""HTTP/1.1 server for callers and HTTP/1.1 client for upstreams."""

from rhubarbpaddle.http.caller_handler import CallerHandler
from rhubarbpaddle.http.upstream_client import HttpUpstreamClient

__all__ = ["CallerHandler", "HttpUpstreamClient"]
