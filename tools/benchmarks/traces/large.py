"""Build planner views of the deployment size expected in two years."""

from dataclasses import dataclass

from benchmarks.traces.generate import START_MS
from hemlockdock_control.placement import (
    AdapterView,
    EndpointView,
    ModelView,
    PlannerView,
    ReplicaView,
    VersionView,
    WaitingRequestsView,
)
from hemlockdock_core.rows import ReplicaState

MODELS_PER_ENDPOINT = 110 / 600
ADAPTERS_PER_MODEL = 100
ENDPOINT_MB = 640_000
MODEL_MB = 160_000


@dataclass(frozen=True, slots=True)
class LargeView:
    """A planner view and the virtual time at which it was taken.

    Attributes
    ----------
    view : PlannerView
    now_ms : int
    """

    view: PlannerView
    now_ms: int


def large_view(endpoints, waiting_models):
    """Build a view with 110 models and 11,000 adapters per 600 endpoints.

    Each endpoint has one replica, and a third of the replicas are idle. The models with
    waiting requests have no replica.

    Parameters
    ----------
    endpoints : int
    waiting_models : int
        Number of models with waiting requests; at most 10.

    Returns
    -------
    LargeView
    """
    now_ms = START_MS + 3_600_000
    model_count = max(round(endpoints * MODELS_PER_ENDPOINT), 12)
    view = PlannerView()
    for index in range(model_count):
        name = f"model-{index}"
        version = VersionView("v1", MODEL_MB, MODEL_MB * 3 // 4)
        view.model_by_name[name] = ModelView(name, "v1", {"v1": version}, 50, 64, 8, 60_000)
        for number in range(ADAPTERS_PER_MODEL):
            adapter = f"adapter-{index}-{number}"
            view.adapter_by_name[adapter] = AdapterView(adapter, name, 200)
    for index in range(endpoints):
        node_id = f"endpoint-{index}"
        model = f"model-{10 + index % (model_count - 10)}"
        view.endpoint_by_id[node_id] = EndpointView(
            node_id=node_id,
            incarnation=1,
            host=node_id,
            failure_domain=f"domain-{index % 8}",
            group="default",
            memory_mb=ENDPOINT_MB,
            reserved_mb=MODEL_MB,
            cached_on_disk=frozenset({f"{model}/v1", f"model-{index % model_count}/v1"}),
        )
        view.replica_by_id[f"r{index}"] = ReplicaView(
            replica_id=f"r{index}",
            model=model,
            version="v1",
            node_id=node_id,
            state=ReplicaState.READY,
            decided_at_ms=now_ms - 600_000,
            ready_at_ms=now_ms - 500_000,
            in_flight=index % 3,
            last_used_ms=now_ms - 20_000,
            adapters=frozenset({f"adapter-{10 + index % (model_count - 10)}-0"}),
        )
    for index in range(waiting_models):
        wish = WaitingRequestsView(f"model-{index}", "", 20, now_ms + 60_000, 50, now_ms)
        view.waiting_requests.append(wish)
    return LargeView(view, now_ms)
