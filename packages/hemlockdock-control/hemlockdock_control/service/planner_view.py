"""Build the planner's input."""

from datetime import UTC, datetime, timedelta

from hemlockdock_control.placement import (
    AdapterView,
    EndpointView,
    ModelView,
    PlannerView,
    ReplicaView,
    VersionView,
)

MS_PER_S = 1_000
AGENT = "agent"


def build_view(state, report_by_id, load_tracker, at_ms):
    """Return the planner's view of the committed state and the volatile reports.

    Parameters
    ----------
    state : ClusterState
    report_by_id : dict of str to InventoryReport
    load_tracker : LoadTracker
    at_ms : int
        Wall clock, in milliseconds since 1970.

    Returns
    -------
    PlannerView
    """
    view = PlannerView(waiting_requests=load_tracker.wishes(at_ms))
    manifest = state.manifests.current
    if manifest is not None:
        view.tail_cold_start = manifest.weights.tail_cold_start
        view.credits_expire_ms = _end_of_day_ms(manifest.weights.credits_expire)
        for model in manifest.models:
            view.model_by_name[model.name] = _model_view(model, state)
    for wish in view.waiting_requests:
        adapter = state.manifests.adapter_by_name.get(wish.adapter)
        if adapter is not None:
            view.adapter_by_name[adapter.name] = AdapterView(
                adapter.name, adapter.model, adapter.memory_mb
            )
    reserved_by_id = _reserved_mb(state)
    for node_id, record in state.nodes.record_by_id.items():
        if record.info.role != AGENT or record.gone:
            continue
        reserved_mb = reserved_by_id.get(node_id, 0) + record.undecided_mb
        report = report_by_id.get(node_id)
        view.endpoint_by_id[node_id] = _endpoint_view(record, report, reserved_mb)
    for replica in state.replicas.record_by_id.values():
        view.replica_by_id[replica.replica_id] = _replica_view(replica, load_tracker)
    return view


def _reserved_mb(state):
    reserved_by_id = {}
    for replica in state.replicas.record_by_id.values():
        before = reserved_by_id.get(replica.node_id, 0)
        reserved_by_id[replica.node_id] = before + replica.reserved_mb
    return reserved_by_id


def _model_view(model, state):
    version_by_name = {
        item.name: VersionView(item.name, item.memory_mb, item.checkpoint_mb)
        for item in model.versions
    }
    return ModelView(
        model.name,
        model.serve,
        version_by_name,
        model.priority,
        model.most_replicas,
        model.requests_per_replica,
        state.manifests.class_by_name[model.request_class].deadline_ms,
        frozenset(model.endpoint_groups),
    )


def _endpoint_view(record, report, reserved_mb):
    cached_in_memory = frozenset()
    cached_on_disk = frozenset()
    if report is not None and report.incarnation == record.incarnation:
        cached_in_memory = frozenset(report.inventory.cached_in_memory)
        cached_on_disk = frozenset(report.inventory.cached_on_disk)
    info = record.info
    return EndpointView(
        info.node_id,
        record.incarnation,
        info.host,
        info.failure_domain,
        info.group,
        info.memory_mb,
        reserved_mb,
        leaving=record.leaving,
        lost=record.lost,
        inventory_known=record.inventoried,
        cached_in_memory=cached_in_memory,
        cached_on_disk=cached_on_disk,
        lost_at_ms=record.lost_at_ms,
    )


def _replica_view(replica, load_tracker):
    use = load_tracker.reported_load(replica.node_id, replica.model)
    usable = frozenset(n for n, item in replica.adapter_by_name.items() if item.usable)
    leaving = frozenset(n for n, item in replica.adapter_by_name.items() if item.unload_fence)
    return ReplicaView(
        replica.replica_id,
        replica.model,
        replica.version,
        replica.node_id,
        replica.state,
        replica.decided_at_ms,
        ready_at_ms=replica.ready_at_ms,
        in_flight=use.in_flight if use is not None else 0,
        last_used_ms=use.used_ms if use is not None else 0,
        adapters=usable,
        adapters_loading=frozenset(replica.adapter_by_name) - usable - leaving,
        adapters_unloading=leaving,
    )


def _end_of_day_ms(day):
    if day is None:
        return 0
    start = datetime(day.year, day.month, day.day, tzinfo=UTC)
    return int((start + timedelta(days=1)).timestamp() * MS_PER_S)
