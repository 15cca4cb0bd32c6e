"""Define the data types of a trace."""

from dataclasses import dataclass

from benchmarks.traces.shape import Shape
from hemlockdock_control.placement import AdapterView, ModelView


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a trace.

    Attributes
    ----------
    at_ms : int
    model : str
    adapter : str
        Empty for the base model.
    entry : int
        Index of the entry that receives the request.
    service_ms : int
        Execution time on a replica.
    deadline_ms : int
        Relative to the arrival.
    """

    at_ms: int
    model: str
    adapter: str
    entry: int
    service_ms: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class HostSpec:
    """Sizes and placement of one endpoint and of its host's checkpoint caches.

    Attributes
    ----------
    node_id, group, failure_domain : str
    memory_mb, disk_cache_mb, memory_cache_mb : int
    """

    node_id: str
    group: str
    failure_domain: str
    memory_mb: int
    disk_cache_mb: int
    memory_cache_mb: int


@dataclass(frozen=True, slots=True)
class Trace:
    """Input of a replay: requests, models, hosts and one outage.

    Attributes
    ----------
    shape : Shape
    seed : int
    arrivals : list of Arrival
        Sorted by time.
    models : list of ModelView
    adapters : list of AdapterView
    hosts : list of HostSpec
    lost_domain : str
    lost_from_ms, lost_until_ms : int
        Start and end of the outage of the failure domain.
    measured_from_ms : int
        Measurements start here; before, the planner only learns from the arrivals.
    end_ms : int
    """

    shape: Shape
    seed: int
    arrivals: list[Arrival]
    models: list[ModelView]
    adapters: list[AdapterView]
    hosts: list[HostSpec]
    lost_domain: str
    lost_from_ms: int
    lost_until_ms: int
    measured_from_ms: int
    end_ms: int
