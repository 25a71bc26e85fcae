"""The JSON form of an upstream's announcement."""

from typing import NotRequired, TypedDict

from rhubarbpaddle.membership import UpstreamState


class AnnouncementDocument(TypedDict):
    """The JSON object that an upstream posts to `/announcements`."""

    service: str
    instance: str
    address: str
    incarnation: int
    state: NotRequired[UpstreamState]
