"""Control plane of a fleet: routes, endpoints listed by the directory, and model placement."""

from hemlockdock_control.fleet.service import FleetControlService

__all__ = ["FleetControlService"]
