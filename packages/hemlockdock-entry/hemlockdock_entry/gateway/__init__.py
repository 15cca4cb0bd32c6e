"""HTTP reverse proxy that forwards client requests directly to the endpoints of a fleet."""

from hemlockdock_entry.gateway.service import GatewayService

__all__ = ["GatewayService"]
