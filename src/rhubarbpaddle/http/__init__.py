"""HTTP/1.1 towards callers and upstreams."""

from rhubarbpaddle.http.caller_handler import CallerHandler
from rhubarbpaddle.http.upstream_client import HttpUpstreamClient

__all__ = ["CallerHandler", "HttpUpstreamClient"]
