"""Contents of a snapshot of the replicated state."""

from dataclasses import dataclass, field

from hemlockdock_control.state.audit import AuditRecord
from hemlockdock_control.state.former_values import FormerValue
from hemlockdock_control.state.job_record import JobRecord
from hemlockdock_control.state.manifests import Acceptance
from hemlockdock_control.state.model_loads import ModelLoad
from hemlockdock_control.state.node_record import NodeRecord
from hemlockdock_control.state.replica_record import ReplicaRecord
from hemlockdock_control.state.run_record import RunRecord
from hemlockdock_control.state.suspect_record import SuspectRecord
from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import EndpointRow

IMAGE_FORMAT = 1
NEVER_KEPT_MS = -1


@dataclass(slots=True)
class StateImage:
    """Complete replicated state; the routing table rows are derived from it.

    Attributes
    ----------
    format : int
    index, now_ms, epoch, table_revision : int
    manifest : bytes
        Canonical JSON; empty if there is no current manifest.
    manifest_revision : int
    manifest_at_ms : int
    accepted : list of Acceptance
    load_ms_by_version : dict of str to int
    nodes : list of NodeRecord
    replicas : list of ReplicaRecord
    runs : list of RunRecord
    jobs : list of JobRecord
    suspects : list of SuspectRecord
    seen_until_ms_by_crash : dict of str to int
    audit : list of AuditRecord
    routes : RouteManifest or None
    routes_document : bytes
    endpoints : list of EndpointRow
    former_pools, former_versions : list of FormerValue
    former_pools_since_ms, former_versions_since_ms : int or None
        Times since which they are complete; `NEVER_KEPT_MS` in snapshots of versions without them.
    model_loads : list of ModelLoad
    store_loads : int
    """

    format: int
    index: int
    now_ms: int
    epoch: int
    table_revision: int
    manifest: bytes
    manifest_revision: int
    manifest_at_ms: int
    accepted: list[Acceptance]
    load_ms_by_version: dict[str, int]
    nodes: list[NodeRecord]
    replicas: list[ReplicaRecord]
    runs: list[RunRecord]
    jobs: list[JobRecord]
    suspects: list[SuspectRecord]
    seen_until_ms_by_crash: dict[str, int]
    audit: list[AuditRecord]
    routes: RouteManifest | None = None
    routes_document: bytes = b""
    endpoints: list[EndpointRow] = field(default_factory=list)
    former_pools: list[FormerValue] = field(default_factory=list)
    former_pools_since_ms: int | None = NEVER_KEPT_MS
    former_versions: list[FormerValue] = field(default_factory=list)
    former_versions_since_ms: int | None = NEVER_KEPT_MS
    model_loads: list[ModelLoad] = field(default_factory=list)
    store_loads: int = 0
