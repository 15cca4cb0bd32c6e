"""Decide which models are loaded on which endpoints, from a view of the deployment and the time."""

from hemlockdock_control.placement.planner import Planner
from hemlockdock_control.placement.view import (
    AdapterView,
    EndpointView,
    ModelView,
    PlannerView,
    ReplicaView,
    VersionView,
    WaitingRequestsView,
)

__all__ = [
    "AdapterView",
    "EndpointView",
    "ModelView",
    "Planner",
    "PlannerView",
    "ReplicaView",
    "VersionView",
    "WaitingRequestsView",
]
