"""Stand-ins for the platform's log and store and for upstreams."""
