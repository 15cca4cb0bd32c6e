"""Keep the latest heartbeat of each node."""

from dataclasses import dataclass, field

from hemlockdock_control.membership.node_heartbeat import NodeHeartbeat
from hemlockdock_core.messages import ModelTraffic
from hemlockdock_core.node_info import NodeInfo


@dataclass(slots=True)
class HeardNode:
    """Hold the latest heartbeat of one node and its loads by model.

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
    load_by_model : dict of str to ModelTraffic
    relayed_by : str
        Member that relayed the heartbeat; empty if it was received directly.
    """

    node_id: str
    incarnation: int
    sequence: int
    heard_ms: float
    table_revision: int = 0
    leaving: bool = False
    info: NodeInfo | None = None
    load_by_model: dict[str, ModelTraffic] = field(default_factory=dict)
    relayed_by: str = ""


class HeartbeatTable:
    """Keep the latest heartbeat of each node, received directly or from another member.

    Attributes
    ----------
    heard_by_id : dict of str to HeardNode
    """

    def __init__(self):
        self.heard_by_id = {}
        self._unsent_ids = set()
        self._unsent_loads_by_id = {}

    def record(self, heartbeat, now_ms, relayed_by=""):
        """Record a heartbeat, unless a newer one is known.

        Parameters
        ----------
        heartbeat : NodeHeartbeat
        now_ms : float
        relayed_by : str, optional
            Member that relayed the heartbeat.

        Returns
        -------
        HeardNode or None
            None if the heartbeat is out of date.
        """
        heard = self.heard_by_id.get(heartbeat.node_id)
        order = (heartbeat.incarnation, heartbeat.sequence)
        if heard is not None and order < (heard.incarnation, heard.sequence):
            return None
        if heard is None or heard.incarnation < heartbeat.incarnation:
            heard_ms = now_ms - heartbeat.age_ms
            heard = HeardNode(
                heartbeat.node_id, heartbeat.incarnation, heartbeat.sequence, heard_ms
            )
            self.heard_by_id[heartbeat.node_id] = heard
        heard.sequence = heartbeat.sequence
        heard.relayed_by = relayed_by
        heard.heard_ms = max(heard.heard_ms, now_ms - heartbeat.age_ms)
        heard.table_revision = heartbeat.table_revision
        heard.leaving = heartbeat.leaving
        heard.info = heartbeat.info or heard.info
        for load in heartbeat.loads:
            heard.load_by_model[load.model] = load
            self._unsent_loads_by_id.setdefault(heartbeat.node_id, set()).add(load.model)
        self._unsent_ids.add(heartbeat.node_id)
        return heard

    def take_digest(self, now_ms):
        """Return the heartbeats received since the last digest.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        list of NodeHeartbeat
        """
        heartbeats = []
        for node_id in sorted(self._unsent_ids):
            heard = self.heard_by_id[node_id]
            models = sorted(self._unsent_loads_by_id.get(node_id, ()))
            heartbeats.append(
                _to_heartbeat(heard, [heard.load_by_model[name] for name in models], now_ms)
            )
        self._unsent_ids.clear()
        self._unsent_loads_by_id.clear()
        return heartbeats

    def mark_all_unsent(self):
        """Include every heartbeat in the next digest, for a new leader."""
        for node_id, heard in self.heard_by_id.items():
            self._unsent_ids.add(node_id)
            self._unsent_loads_by_id[node_id] = set(heard.load_by_model)

    def remove_silent(self, now_ms, silent_ms):
        """Remove nodes that were not heard for a given time.

        Parameters
        ----------
        now_ms : float
        silent_ms : float

        Returns
        -------
        list of str
            Ids of the removed nodes.
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


def _to_heartbeat(heard, loads, now_ms):
    return NodeHeartbeat(
        heard.node_id,
        heard.incarnation,
        heard.sequence,
        int(max(now_ms - heard.heard_ms, 0)),
        heard.table_revision,
        heard.leaving,
        heard.info,
        loads,
    )
