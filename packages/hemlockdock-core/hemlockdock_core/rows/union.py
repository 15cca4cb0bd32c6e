"""Union of all routing table rows."""

from hemlockdock_core.rows.adapter_row import AdapterRow
from hemlockdock_core.rows.class_row import ClassRow
from hemlockdock_core.rows.customer_row import CustomerRow
from hemlockdock_core.rows.endpoint_row import EndpointRow
from hemlockdock_core.rows.job_row import JobRow
from hemlockdock_core.rows.limits_row import LimitsRow
from hemlockdock_core.rows.manifest_row import ManifestRow
from hemlockdock_core.rows.model_row import ModelRow
from hemlockdock_core.rows.node_row import NodeRow
from hemlockdock_core.rows.pool_row import PoolRow
from hemlockdock_core.rows.quarantine_row import QuarantineRow
from hemlockdock_core.rows.replica_row import ReplicaRow
from hemlockdock_core.rows.route_row import RouteRow
from hemlockdock_core.rows.service_row import ServiceRow

Row = (
    ManifestRow
    | ClassRow
    | ModelRow
    | AdapterRow
    | ServiceRow
    | NodeRow
    | ReplicaRow
    | QuarantineRow
    | JobRow
    | RouteRow
    | PoolRow
    | LimitsRow
    | EndpointRow
    | CustomerRow
)
