"""The platform's append-only log."""

from rhubarbpaddle.platform.batch import Batch
from rhubarbpaddle.platform.http_log_client import HttpLogClient
from rhubarbpaddle.platform.log_client import LogClient
from rhubarbpaddle.platform.record import Record

__all__ = ["Batch", "HttpLogClient", "LogClient", "Record"]
