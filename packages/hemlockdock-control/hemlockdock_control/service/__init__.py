"""Run a control member: the replicated state, the message listener for nodes and the operators' API."""

from hemlockdock_control.service.control_service import ControlService

__all__ = ["ControlService"]
