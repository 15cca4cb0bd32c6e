"""Decide which waiting request is served next, and at which endpoint."""

from hemlockdock_entry.balancing.load_balancer import LoadBalancer
from hemlockdock_entry.balancing.load_view import LoadView

__all__ = ["LoadBalancer", "LoadView"]
