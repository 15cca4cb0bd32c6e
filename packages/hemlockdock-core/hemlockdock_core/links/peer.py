"""What a process keeps about the connections with one peer."""

from dataclasses import dataclass, field

from hemlockdock_core.links.delivery import Delivery
from hemlockdock_core.links.outbox import Outbox


@dataclass(slots=True)
class Peer:
    """A peer's address and the state of the connections with it.

    Attributes
    ----------
    address : str
        Address of its mailbox.
    delivery : Delivery
    outbox : Outbox or None
        None until the first frame is sent.
    opened_s, used_s : float
        Times at which the outbox was opened, and at which something was sent last.
    probe : int
        Number of the last probe.
    """

    address: str
    delivery: Delivery = field(default_factory=Delivery)
    outbox: Outbox | None = None
    opened_s: float = 0.0
    used_s: float = 0.0
    probe: int = 0
