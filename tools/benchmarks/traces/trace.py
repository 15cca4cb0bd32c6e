"""Hold one deployment's trace."""

from dataclasses import dataclass

from benchmarks.traces.shape import Shape
from hemlockdock_control.placement import AdapterView, ModelView


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe one request.

    Attributes
    ----------
    at_ms : int
    model : str
    adapter : str
        Empty for the base model.
    entry : int
    service_ms : int
    deadline_ms : int
        From its arrival.
    """

    at_ms: int
    model: str
    adapter: str
    entry: int
    service_ms: int
    deadline_ms: int


@dataclass(frozen=True, slots=True)
class HostSpec:
    """Describe one endpoint and its host's caches.

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
    """Hold all that a replay needs.

    Attributes
    ----------
    shape : Shape
    seed : int
    arrivals : list of Arrival
        By time.
    models : list of ModelView
    adapters : list of AdapterView
    hosts : list of HostSpec
    lost_domain : str
    lost_from_ms, lost_until_ms : int
        When the failure domain is gone.
    judged_from_ms : int
        Figures count from here on; what comes before is for learning.
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
