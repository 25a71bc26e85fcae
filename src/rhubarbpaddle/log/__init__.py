"""Client of the platform's append-only log."""

from rhubarbpaddle.log.batch import Batch
from rhubarbpaddle.log.http_log_client import HttpLogClient
from rhubarbpaddle.log.log_client import LogClient
from rhubarbpaddle.log.record import Record

__all__ = ["Batch", "HttpLogClient", "LogClient", "Record"]
