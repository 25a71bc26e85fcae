"""Small stand-ins for the platform's log and for upstreams."""
