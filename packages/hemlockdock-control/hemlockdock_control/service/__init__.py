"""Run a control member: replicated state, message listener for nodes and operators' API."""

from hemlockdock_control.service.control_service import ControlService

__all__ = ["ControlService"]
