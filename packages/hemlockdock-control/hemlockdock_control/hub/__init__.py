"""Distribution of the routing table to watching nodes."""

from hemlockdock_control.hub.table_feed import TableFeed

__all__ = ["TableFeed"]
