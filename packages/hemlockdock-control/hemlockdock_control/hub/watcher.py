"""Remember one node that watches the routing table."""

from dataclasses import dataclass


@dataclass(slots=True)
class Watcher:
    """Remember what one watcher was sent.

    Attributes
    ----------
    node_id : str
    address : str
    epoch, revision : int
        What it holds once all that was sent has arrived.
    heard_ms : float
        When it last asked or sent a heartbeat, by the silence clock.
    """

    node_id: str
    address: str
    epoch: int
    revision: int
    heard_ms: float
