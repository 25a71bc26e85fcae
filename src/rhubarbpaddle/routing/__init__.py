"""The choice of the instance that serves a request."""

from rhubarbpaddle.routing.adaptive_router import AdaptiveRouter
from rhubarbpaddle.routing.candidate import Candidate
from rhubarbpaddle.routing.router import Router

__all__ = ["AdaptiveRouter", "Candidate", "Router"]
