"""Simulate the leader of control that shares limits, and the entries' links to it."""

import msgspec

from benchmarks.crash_network import ONE_WAY_S
from hemlockdock_control.fleet.request_limits import RequestLimits
from hemlockdock_core.messages import LimitNamed, PermitRequest, PermitReturn
from hemlockdock_core.rows import EndpointRow, RoutingTable

COMMIT_S = 0.02
PUBLISH_S = 0.04
HEARTBEAT_S = 0.5
ELECTION_S = 1.5


class Link:
    """An entry's link to control.

    Parameters
    ----------
    control : LimitControl
    entry_id : str
    reactor : EntryReactor

    Attributes
    ----------
    in_touch : bool
    """

    def __init__(self, control, entry_id, reactor):
        self.table = RoutingTable()
        self.entries = 0
        self.reported_entries = 0
        self.capacity_ratio = 1.0
        self.origin_members = []
        self.in_touch = True
        self.gateway = None
        self.entry_id = entry_id
        self._control = control
        self._reactor = reactor
        self._acknowledged_s = None
        self._beat()

    @property
    def issues_permits(self):
        """Return whether the last heartbeat was answered by the leader."""
        return self.leader_answers_within(2 * HEARTBEAT_S)

    def leader_answers_within(self, seconds):
        """Return whether the leader answered a heartbeat sent not longer ago."""
        if self._acknowledged_s is None:
            return False
        return self._reactor.seconds() - self._acknowledged_s <= seconds

    def send(self, message):
        """Send a message to the leader."""
        if self.in_touch:
            self._control.network.callLater(ONE_WAY_S, self._control.receive, self, message)

    def receive(self, message):
        """Pass the leader's reply to the entry."""
        if self.in_touch:
            self._reactor.send(self.gateway.permits.on_reply, message)

    def receive_rows(self, rows):
        """Apply changes of the routing table."""
        if not self.in_touch:
            return
        for row in rows:
            self.table.put(row)
        self.gateway.table_changed()

    def acknowledge(self, sent_s, entries):
        """Record the answer to a heartbeat."""
        if self.in_touch:
            self._acknowledged_s = sent_s
            self.reported_entries = max(self.reported_entries, entries)
            self.entries = self.reported_entries

    def _beat(self):
        self._reactor.callLater(HEARTBEAT_S, self._beat)
        if self.in_touch:
            now_s = self._reactor.seconds()
            self._control.network.callLater(ONE_WAY_S, self._control.heartbeat, self, now_s)


class LimitControl:
    """The leader of control, and the endpoints that are recorded.

    Parameters
    ----------
    network : Network

    Attributes
    ----------
    network : Network
    leads : bool
    """

    def __init__(self, network):
        self.network = network
        self.leads = True
        self.links = []
        self._limits = RequestLimits(0.0)
        self._heard = set()
        self._row_by_id = {}
        network.callLater(PUBLISH_S, self._publish)

    def change_leader(self):
        """Lose the leader, and elect another one after a while."""
        self.leads = False
        self.network.callLater(ELECTION_S, self._elected)

    def receive(self, link, message):
        """Handle a message of an entry as ``FleetNodes`` does."""
        if not self.leads:
            return
        now_s = self.network.seconds()
        if isinstance(message, LimitNamed):
            self._limits.record(message.endpoint_id, message.per_s, now_s)
        elif isinstance(message, PermitRequest):
            link.receive(self._limits.issue(link.entry_id, message, now_s))
        elif isinstance(message, PermitReturn):
            self._limits.give_back(message)

    def heartbeat(self, link, sent_s):
        """Answer a heartbeat."""
        if not self.leads:
            return
        self._heard.add(link.entry_id)
        self._limits.roster.record_heartbeat(link.entry_id, self.network.seconds())
        self.network.callLater(ONE_WAY_S, link.acknowledge, sent_s, len(self._heard))

    def list_endpoint(self, row):
        """Add an endpoint to the routing table.

        Parameters
        ----------
        row : EndpointRow
        """
        self._row_by_id[row.endpoint_id] = row

    def _elected(self):
        now_s = self.network.seconds()
        self._heard = set()
        self._limits.clear(now_s)
        self._limits.adopt(self._row_by_id.values(), now_s)
        self.leads = True

    def _publish(self):
        self.network.callLater(PUBLISH_S, self._publish)
        if not self.leads:
            return
        now_s = self.network.seconds()
        changed = []
        for endpoint_id, row in self._row_by_id.items():
            per_s = self._limits.row_per_s(endpoint_id, now_s)
            if per_s != row.limit_per_s:
                changed.append(msgspec.structs.replace(row, limit_per_s=per_s))
        for row in changed:
            self._row_by_id[row.endpoint_id] = row
        if changed:
            self.network.callLater(COMMIT_S, self._push, changed)

    def _push(self, rows):
        for link in self.links:
            link.receive_rows(rows)


def endpoint_row(engine, pool, models):
    """Return the row of an engine.

    Parameters
    ----------
    engine : LimitedEngine
    pool : str
    models : tuple of ResidentModel

    Returns
    -------
    EndpointRow
    """
    return EndpointRow(
        engine.endpoint_id,
        pool,
        f"127.0.0.1:{engine.port}",
        "d",
        32,
        False,
        models,
        "",
        (),
        None,
        "v1",
    )
