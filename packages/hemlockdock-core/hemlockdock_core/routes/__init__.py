"""Route manifests that operators submit, their validation, and reviews of them."""

from hemlockdock_core.routes.changes import manifest_changes
from hemlockdock_core.routes.check import parse_routes, route_errors
from hemlockdock_core.routes.customer_check import CustomerFields, customer_errors
from hemlockdock_core.routes.doubts import route_warnings
from hemlockdock_core.routes.finding import Finding, FindingLevel
from hemlockdock_core.routes.manifest import RouteManifest
from hemlockdock_core.routes.review import review_routes

__all__ = [
    "CustomerFields",
    "Finding",
    "FindingLevel",
    "RouteManifest",
    "customer_errors",
    "manifest_changes",
    "parse_routes",
    "review_routes",
    "route_errors",
    "route_warnings",
]
