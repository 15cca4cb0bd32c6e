"""Order model and adapter changes from one fleet engine on behalf of control and entries."""

from hemlockdock_agent.fleet.service import FleetAgentService

__all__ = ["FleetAgentService"]
