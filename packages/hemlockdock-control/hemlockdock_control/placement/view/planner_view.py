"""Hold the input of one planning round."""

from dataclasses import dataclass, field

from hemlockdock_control.placement.view.adapter_view import AdapterView
from hemlockdock_control.placement.view.endpoint_view import EndpointView
from hemlockdock_control.placement.view.model_view import ModelView
from hemlockdock_control.placement.view.replica_view import ReplicaView
from hemlockdock_control.placement.view.waiting_requests_view import WaitingRequestsView


@dataclass(slots=True)
class PlannerView:
    """Hold the input of one planning round.

    All times are wall-clock milliseconds since 1970. Loads in flight are the replicas in
    state ``loading``, and their ``adapters_loading``.

    Attributes
    ----------
    model_by_name : dict of str to ModelView
        Models of the manifest in force.
    adapter_by_name : dict of str to AdapterView
        Contains at least the adapters that requests wait for.
    endpoint_by_id : dict of str to EndpointView
    replica_by_id : dict of str to ReplicaView
        Every replica that still counts against the limits, in any state.
    waiting_requests : list of WaitingRequestsView
    tail_cold_start : float
        Weight from the manifest: 0 minimises idle hours only, 1 the cold-start tail only.
    credits_expire_ms : int
        End of the day on which credits expire; 0 if they do not.
    """

    model_by_name: dict[str, ModelView] = field(default_factory=dict)
    adapter_by_name: dict[str, AdapterView] = field(default_factory=dict)
    endpoint_by_id: dict[str, EndpointView] = field(default_factory=dict)
    replica_by_id: dict[str, ReplicaView] = field(default_factory=dict)
    waiting_requests: list[WaitingRequestsView] = field(default_factory=list)
    tail_cold_start: float = 0.5
    credits_expire_ms: int = 0
