"""What a gateway knows about a service's capacity in each zone."""

from rhubarbpaddle.routing.spillover_share import SpilloverShare
from rhubarbpaddle.routing.zone_room import ZoneRoom
from rhubarbpaddle.routing.zone_round_trips import ZoneRoundTrips


class ServiceSpillover:
    """The state of one service, which exists once an instance was full.

    Attributes:
        share: The share of requests that go to other zones first.
        round_trips: The round-trip times to the zones.
    """

    def __init__(self, own_zone: str) -> None:
        self.share = SpilloverShare()
        self.round_trips = ZoneRoundTrips(own_zone)
        self._rooms: dict[str, ZoneRoom] = {}

    def get_room(self, zone: str) -> ZoneRoom:
        """Returns the estimate of a zone's room and wait."""
        room = self._rooms.get(zone)
        if room is None:
            room = self._rooms[zone] = ZoneRoom()
        return room
