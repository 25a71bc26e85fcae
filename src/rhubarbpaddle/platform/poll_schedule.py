"""The times at which the readers of the store end their long polls."""

from datetime import UTC, datetime, timedelta
from typing import NamedTuple, Self

from rhubarbpaddle.membership import ReaderPosition
from rhubarbpaddle.platform.settings import PlatformSettings
from rhubarbpaddle.platform.store_client import HELD_READ_TIMEOUT

# The time after the detection of a silent connection in which the reader opens
# another, reads the change, and all nodes receive it.
_SPREAD_TIME = timedelta(milliseconds=300)
# Bounds the calls to the store where the platform allows less time.
_MIN_INTERVAL = timedelta(milliseconds=250)
# A poll that ends earlier than this is not worth a call.
_MIN_WAIT = timedelta(milliseconds=50)
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


class PollSchedule(NamedTuple):
    """Spreads the ends of the readers' long polls evenly over time.

    A silent connection shows only when the poll on it should have ended. Each
    record ends the polls of all readers at once; without a schedule they would
    also detect a silent store at the same time. The schedule uses the wall
    clocks of the hosts. Where these differ, detection takes longer, but at most
    as long as a single reader needs.

    Attributes:
        max_period: The longest time that a reader polls.
        spacing: The longest time between the ends of two readers' polls.
    """

    max_period: timedelta
    spacing: timedelta

    @classmethod
    def from_config(cls, settings: PlatformSettings) -> Self:
        """Creates the schedule that the platform's bounds require.

        All readers together detect silent connections within the time in which
        a change must be in force, and each reader within the time after which
        the platform counts its node as in contact again.
        """
        margin = HELD_READ_TIMEOUT + _SPREAD_TIME
        return cls(
            max(_MIN_INTERVAL, settings.contact_time - margin),
            max(_MIN_INTERVAL, settings.configuration_deadline - margin),
        )

    def get_wait(self, position: ReaderPosition, now: datetime) -> timedelta:
        """Returns how long the store should hold a reader's poll.

        Args:
            position: The reader's place among all readers.
            now: The current time in UTC.
        """
        period = min(self.max_period, self.spacing * position.reader_count)
        offset = period * position.rank / position.reader_count
        wait = period - (now - _EPOCH - offset) % period
        return wait if wait >= _MIN_WAIT else wait + period
