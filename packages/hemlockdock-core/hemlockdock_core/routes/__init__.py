"""Route manifests that operators submit, and their validation."""

from hemlockdock_core.routes.check import parse_routes, route_errors
from hemlockdock_core.routes.customer_check import CustomerFields, customer_errors
from hemlockdock_core.routes.manifest import RouteManifest

__all__ = [
    "CustomerFields",
    "RouteManifest",
    "customer_errors",
    "parse_routes",
    "route_errors",
]
