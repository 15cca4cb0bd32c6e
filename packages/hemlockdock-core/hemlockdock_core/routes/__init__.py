"""Route manifests that operators submit, and their validation."""

from hemlockdock_core.routes.check import read_routes, route_errors
from hemlockdock_core.routes.manifest import RouteManifest

__all__ = ["RouteManifest", "read_routes", "route_errors"]
