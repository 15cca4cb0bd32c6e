"""Define the routes that operators put in force, as one whole."""

from hemlockdock_core.routes.check import read_routes, route_errors
from hemlockdock_core.routes.manifest import RouteManifest

__all__ = ["RouteManifest", "read_routes", "route_errors"]
