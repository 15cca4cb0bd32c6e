"""Say what the request gate needs to know of the rest of the agent."""

from dataclasses import dataclass

from hemlockdock_agent.orders.held_replica import HeldReplica
from hemlockdock_core.rows import QuarantineRow, ReplicaRow


@dataclass(frozen=True, slots=True)
class GateView:
    """Say what the request gate needs to know for one dispatch.

    Attributes
    ----------
    fresh : bool
        Whether control was heard recently.
    table_revision : int
    changed_revision : int
        Table revision at which the model's row last changed in the agent's copy.
    row : ReplicaRow or None
    held : HeldReplica or None
    unloading : bool
    quarantine : QuarantineRow or None
    suspects : set of str
        Fingerprints that may run only apart from each other.
    boot_id : str
        Of the engine.
    wall_ms : int
    """

    fresh: bool
    table_revision: int
    changed_revision: int
    row: ReplicaRow | None
    held: HeldReplica | None
    unloading: bool
    quarantine: QuarantineRow | None
    suspects: frozenset
    boot_id: str
    wall_ms: int
