"""Describe one endpoint to the planner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Describe one endpoint.

    Attributes
    ----------
    node_id : str
        Node id of the agent that manages the endpoint.
    incarnation : int
    host : str
    failure_domain : str
    group : str
    memory_mb : int
    reserved_mb : int
        Reserved by committed decisions: replicas in any state, and adapters.
    leaving : bool
    lost : bool
    inventory_known : bool
        Whether the agent's current incarnation has reported its inventory; no model is loaded
        on an endpoint before that.
    cached_in_memory : frozenset of str
        ``model/version`` names of checkpoints in the host's memory.
    cached_on_disk : frozenset of str
    lost_at_ms : int
        When the endpoint was declared lost; 0 if it is not lost.
    """

    node_id: str
    incarnation: int
    host: str
    failure_domain: str
    group: str
    memory_mb: int
    reserved_mb: int
    leaving: bool = False
    lost: bool = False
    inventory_known: bool = True
    cached_in_memory: frozenset[str] = frozenset()
    cached_on_disk: frozenset[str] = frozenset()
    lost_at_ms: int = 0

    @property
    def accepts_work(self):
        """Return whether models may be loaded on the endpoint and its replicas may serve."""
        return self.inventory_known and not self.leaving and not self.lost
