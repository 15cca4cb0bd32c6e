"""Keep what was last heard from each node."""

from dataclasses import dataclass, field

from hemlockdock_control.membership.node_beat import NodeBeat
from hemlockdock_core.messages import ModelLoad
from hemlockdock_core.node_info import NodeInfo


@dataclass(slots=True)
class HeardNode:
    """Hold what was last heard from one node.

    Attributes
    ----------
    node_id : str
    incarnation : int
    sequence : int
    heard_ms : float
        By the silence clock.
    table_revision : int
    leaving : bool
    info : NodeInfo or None
    load_by_model : dict of str to ModelLoad
    via : str
        Member that told of it; empty where it was heard here.
    """

    node_id: str
    incarnation: int
    sequence: int
    heard_ms: float
    table_revision: int = 0
    leaving: bool = False
    info: NodeInfo | None = None
    load_by_model: dict[str, ModelLoad] = field(default_factory=dict)
    via: str = ""


class Beats:
    """Keep the latest heartbeat of each node, from wherever it was received.

    Attributes
    ----------
    heard_by_id : dict of str to HeardNode
    """

    def __init__(self):
        self.heard_by_id = {}
        self._unsent_ids = set()
        self._unsent_loads_by_id = {}

    def record(self, beat, now_ms, via=""):
        """Take in a heartbeat; an older one than is known is passed over.

        Parameters
        ----------
        beat : NodeBeat
        now_ms : float
        via : str, optional
            Member that told of it.

        Returns
        -------
        HeardNode or None
            None where it was passed over.
        """
        heard = self.heard_by_id.get(beat.node_id)
        order = (beat.incarnation, beat.sequence)
        if heard is not None and order < (heard.incarnation, heard.sequence):
            return None
        if heard is None or heard.incarnation < beat.incarnation:
            heard_ms = now_ms - beat.age_ms
            heard = HeardNode(beat.node_id, beat.incarnation, beat.sequence, heard_ms)
            self.heard_by_id[beat.node_id] = heard
        heard.sequence = beat.sequence
        heard.via = via
        heard.heard_ms = max(heard.heard_ms, now_ms - beat.age_ms)
        heard.table_revision = beat.table_revision
        heard.leaving = beat.leaving
        heard.info = beat.info or heard.info
        for load in beat.loads:
            heard.load_by_model[load.model] = load
            self._unsent_loads_by_id.setdefault(beat.node_id, set()).add(load.model)
        self._unsent_ids.add(beat.node_id)
        return heard

    def take_digest(self, now_ms):
        """Return what was heard since the last digest.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        list of NodeBeat
        """
        beats = []
        for node_id in sorted(self._unsent_ids):
            heard = self.heard_by_id[node_id]
            models = sorted(self._unsent_loads_by_id.get(node_id, ()))
            beats.append(_beat(heard, [heard.load_by_model[name] for name in models], now_ms))
        self._unsent_ids.clear()
        self._unsent_loads_by_id.clear()
        return beats

    def resend_all(self):
        """Let the next digest hold everything, for a leader that knows nothing yet."""
        for node_id, heard in self.heard_by_id.items():
            self._unsent_ids.add(node_id)
            self._unsent_loads_by_id[node_id] = set(heard.load_by_model)

    def forget_silent(self, now_ms, silent_ms):
        """Drop nodes that were not heard for a time.

        Parameters
        ----------
        now_ms : float
        silent_ms : float

        Returns
        -------
        list of str
            Their ids.
        """
        silent_ids = [
            node_id
            for node_id, heard in self.heard_by_id.items()
            if now_ms - heard.heard_ms >= silent_ms
        ]
        for node_id in silent_ids:
            del self.heard_by_id[node_id]
            self._unsent_ids.discard(node_id)
            self._unsent_loads_by_id.pop(node_id, None)
        return silent_ids


def _beat(heard, loads, now_ms):
    return NodeBeat(
        heard.node_id,
        heard.incarnation,
        heard.sequence,
        int(max(now_ms - heard.heard_ms, 0)),
        heard.table_revision,
        heard.leaving,
        heard.info,
        loads,
    )
