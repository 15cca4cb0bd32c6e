"""Remember one node that watches the routing table."""

from dataclasses import dataclass

# Nodes ask again after a tenth of this; a whole table may take longer to arrive.
REPEAT_MS = 1_000


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
    asked_at : tuple of (int, int)
        Epoch and revision that it held when it asked.
    asked_ms : float
    """

    node_id: str
    address: str
    epoch: int
    revision: int
    heard_ms: float
    asked_at: tuple[int, int]
    asked_ms: float

    def repeats(self, asked_at, now_ms):
        """Tell whether a question is answered already, by what is on its way.

        Parameters
        ----------
        asked_at : tuple of (int, int)
        now_ms : float

        Returns
        -------
        bool
        """
        if asked_at != self.asked_at or now_ms - self.asked_ms >= REPEAT_MS:
            return False
        return (self.epoch, self.revision) != asked_at
