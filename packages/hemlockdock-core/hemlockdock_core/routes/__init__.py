"""Route manifests that operators submit, and their validation."""

from hemlockdock_core.routes.check import parse_routes, route_errors
from hemlockdock_core.routes.manifest import RouteManifest

__all__ = ["RouteManifest", "parse_routes", "route_errors"]
