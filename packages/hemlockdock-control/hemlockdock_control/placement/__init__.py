"""Decide which models are loaded where: pure functions of a view and the time."""

from hemlockdock_control.placement.planner import Planner
from hemlockdock_control.placement.view import (
    AdapterView,
    EndpointView,
    ModelView,
    PlannerView,
    ReplicaView,
    VersionView,
    WishView,
)

__all__ = [
    "AdapterView",
    "EndpointView",
    "ModelView",
    "Planner",
    "PlannerView",
    "ReplicaView",
    "VersionView",
    "WishView",
]
