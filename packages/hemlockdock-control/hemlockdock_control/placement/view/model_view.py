"""Describe one model to the planner."""

from dataclasses import dataclass

from hemlockdock_control.placement.view.version_view import VersionView


@dataclass(frozen=True, slots=True)
class ModelView:
    """Describe one model of the manifest in force.

    Attributes
    ----------
    name : str
    serve : str
        Version that serves requests.
    version_by_name : dict of str to VersionView
    priority : int
    most_replicas : int
        Limit on replicas, over all versions and states.
    requests_per_replica : int
    deadline_ms : int
        Deadline of the model's request class.
    endpoint_groups : frozenset of str
        Endpoint groups that may load the model; empty means all.
    """

    name: str
    serve: str
    version_by_name: dict[str, VersionView]
    priority: int
    most_replicas: int
    requests_per_replica: int
    deadline_ms: int
    endpoint_groups: frozenset[str] = frozenset()
