"""Describe one endpoint to the planner."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Describe one endpoint.

    Attributes
    ----------
    node_id : str
        Its agent.
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
        Whether the agent's current incarnation has reported its inventory; nothing is loaded
        onto an endpoint that has not.
    cached_in_memory : frozenset of str
        ``model/version`` names of checkpoints in the host's memory.
    cached_on_disk : frozenset of str
    lost_at_ms : int
        When it was taken for lost; 0 where it is not.
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
    def takes_work(self):
        """Tell whether something may be loaded onto it, and its replicas serve."""
        return self.inventory_known and not self.leaving and not self.lost
