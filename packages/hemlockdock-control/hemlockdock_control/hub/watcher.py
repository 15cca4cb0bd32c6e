"""State of a node that watches the routing table."""

from dataclasses import dataclass

# Within this time, an identical request counts as a duplicate. Nodes repeat a request after a
# tenth of it, but a full table may take longer to arrive.
REPEAT_MS = 1_000


@dataclass(slots=True)
class Watcher:
    """State of one watcher.

    Attributes
    ----------
    node_id : str
    address : str
    epoch, revision : int
        Epoch and revision that the watcher has after receiving all frames sent so far.
    last_heard_ms : float
        When its last request or heartbeat was received, on the clock that measures silence.
    requested_position : tuple of (int, int)
        Epoch and revision in its last request that was not a duplicate.
    requested_ms : float
        When that request was received.
    """

    node_id: str
    address: str
    epoch: int
    revision: int
    last_heard_ms: float
    requested_position: tuple[int, int]
    requested_ms: float

    def is_duplicate(self, requested_position, now_ms):
        """Return whether a request repeats one whose reply is already in transit.

        Parameters
        ----------
        requested_position : tuple of (int, int)
        now_ms : float

        Returns
        -------
        bool
        """
        if requested_position != self.requested_position or now_ms - self.requested_ms >= REPEAT_MS:
            return False
        return (self.epoch, self.revision) != requested_position
