"""Choose endpoints by their loads, as the leader tells them with a delay."""

from hemlockdock_entry.balancing.load_balancer import LoadBalancer
from hemlockdock_entry.balancing.load_view import LoadView

__all__ = ["LoadBalancer", "LoadView"]
