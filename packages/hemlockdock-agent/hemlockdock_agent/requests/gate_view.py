"""Define the agent state that the request gate reads."""

from dataclasses import dataclass

from hemlockdock_agent.orders.held_replica import HeldReplica
from hemlockdock_core.rows import QuarantineRow, ReplicaRow


@dataclass(frozen=True, slots=True)
class GateView:
    """Hold the agent state that the request gate reads for one dispatch.

    Attributes
    ----------
    fresh : bool
        Whether the agent heard from control recently.
    table_revision : int
    changed_revision : int
        Table revision at which the model's row last changed in the agent's copy.
    row : ReplicaRow or None
    held : HeldReplica or None
    unloading : bool
    quarantine : QuarantineRow or None
    suspects : set of str
        Suspected fingerprints; at most one request with any of them may run at a time.
    boot_id : str
        Boot id of the engine.
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
