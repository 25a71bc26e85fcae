"""The choice of the instance that serves a request."""
