"""The routing table, which is replicated to every node, and its row types."""

from hemlockdock_core.rows.adapter_row import AdapterRow
from hemlockdock_core.rows.class_row import ClassRow
from hemlockdock_core.rows.customer_row import CustomerRow, TokenQuota
from hemlockdock_core.rows.endpoint_row import ArrivingModel, EndpointRow, ResidentModel
from hemlockdock_core.rows.job_row import JobRow
from hemlockdock_core.rows.limits_row import LimitsRow
from hemlockdock_core.rows.manifest_row import ManifestRow
from hemlockdock_core.rows.model_row import ModelRow
from hemlockdock_core.rows.node_row import NodeRow
from hemlockdock_core.rows.pool_row import EngineSpec, ModelSpec, PoolRow
from hemlockdock_core.rows.quarantine_row import QuarantineRow
from hemlockdock_core.rows.replica_row import ReplicaRow, ReplicaState
from hemlockdock_core.rows.route_row import RouteKind, RouteRow, WeightedPool
from hemlockdock_core.rows.service_row import ServiceRow
from hemlockdock_core.rows.table import RoutingTable
from hemlockdock_core.rows.union import Row

__all__ = [
    "AdapterRow",
    "ArrivingModel",
    "ClassRow",
    "CustomerRow",
    "EndpointRow",
    "EngineSpec",
    "JobRow",
    "LimitsRow",
    "ManifestRow",
    "ModelRow",
    "ModelSpec",
    "NodeRow",
    "PoolRow",
    "QuarantineRow",
    "ReplicaRow",
    "ReplicaState",
    "ResidentModel",
    "RouteKind",
    "RouteRow",
    "RoutingTable",
    "Row",
    "ServiceRow",
    "TokenQuota",
    "WeightedPool",
]
