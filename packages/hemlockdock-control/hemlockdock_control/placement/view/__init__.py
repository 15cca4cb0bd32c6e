"""Define the planner's input, which the control service fills in."""

from hemlockdock_control.placement.view.adapter_view import AdapterView
from hemlockdock_control.placement.view.endpoint_view import EndpointView
from hemlockdock_control.placement.view.model_view import ModelView
from hemlockdock_control.placement.view.planner_view import PlannerView
from hemlockdock_control.placement.view.replica_view import ReplicaView
from hemlockdock_control.placement.view.version_view import VersionView
from hemlockdock_control.placement.view.waiting_requests_view import WaitingRequestsView

__all__ = [
    "AdapterView",
    "EndpointView",
    "ModelView",
    "PlannerView",
    "ReplicaView",
    "VersionView",
    "WaitingRequestsView",
]
