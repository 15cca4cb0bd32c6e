"""Stand-ins for a platform with its own endpoint directory: the directory and its engines."""

from hemlockdock_standins.fleet.directory import FleetDirectory
from hemlockdock_standins.fleet.engine import FleetEngine

__all__ = ["FleetDirectory", "FleetEngine"]
