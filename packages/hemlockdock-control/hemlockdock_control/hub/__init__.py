"""Serve the routing table to the nodes that watch it."""

from hemlockdock_control.hub.table_feed import TableFeed

__all__ = ["TableFeed"]
