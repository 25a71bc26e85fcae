"""Canary releases: shifts a service's requests to instances of a new version.

The package contains decisions only; `platform` reads orders and writes states,
and `peer` carries notices between nodes.
"""
