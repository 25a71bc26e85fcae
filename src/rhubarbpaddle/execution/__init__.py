"""Runs requests with retries, deadlines and at-most-once claims."""

from rhubarbpaddle.execution.body import Body
from rhubarbpaddle.execution.bytes_body import BytesBody
from rhubarbpaddle.execution.dispatcher import Dispatcher
from rhubarbpaddle.execution.request import Headers, Request
from rhubarbpaddle.execution.response import Response

__all__ = [
    "Body",
    "BytesBody",
    "Dispatcher",
    "Headers",
    "Request",
    "Response",
]
