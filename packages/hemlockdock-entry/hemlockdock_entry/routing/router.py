"""Select the replica that runs a request."""

from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.rows import ReplicaState
from hemlockdock_entry.routing.endpoint_record import EndpointRecord
from hemlockdock_entry.routing.outcome import AttemptOutcome

MAX_EJECTED_FRACTION = 0.5
SLOW_START_S = 5.0
SLOW_START_FRACTION = 0.25


class Router:
    """Select the least loaded replica, by this entry's own requests in flight.

    The entry's own counts are exact and immediate. Load from other entries shows up when an agent
    refuses a request for lack of capacity.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this entry.
    random_source : random.Random
        Breaks ties at random, so that entries do not all select the same replica.
    """

    def __init__(self, failure_domain, random_source):
        self._failure_domain = failure_domain
        self._random = random_source
        self._record_by_id = {}
        self._leaving_incarnation_by_node = {}

    def choose(self, table, request, now, avoided_nodes=(), suspect=False):
        """Select a replica with free capacity.

        Parameters
        ----------
        table : RoutingTable
        request : Request
        now : float
        avoided_nodes : collection of str, optional
            Agents to exclude.
        suspect : bool, optional
            Whether the request is suspected of crashing endpoints.

        Returns
        -------
        ReplicaRow or None
        """
        usable = self.usable_replicas(table, request.model, request.adapter)
        candidates = self._exclude_ejected(usable, now)
        warm_ids = self._warm_replica_ids(candidates, now)
        best = None
        best_score = None
        for replica in candidates:
            if replica.node_id in avoided_nodes:
                continue
            record = self._record(replica, now)
            if suspect and record.suspects_in_flight:
                continue
            if record.overloaded_until > now:
                continue
            limit = self._concurrency_limit(replica, record, now, bool(warm_ids))
            if record.in_flight >= limit:
                continue
            score = self._score(table, replica, record, limit)
            if best_score is None or score < best_score:
                best, best_score = replica, score
        return best

    def usable_replicas(self, table, model, adapter):
        """Return the replicas that accept new requests, regardless of free capacity.

        Parameters
        ----------
        table : RoutingTable
        model, adapter : str

        Returns
        -------
        list of ReplicaRow
        """
        usable = []
        for replica in table.replicas_of(model):
            if replica.state != ReplicaState.READY:
                continue
            if adapter and adapter not in replica.adapters:
                continue
            if self.node_accepts_requests(table, replica.node_id):
                usable.append(replica)
        return usable

    def node_accepts_requests(self, table, node_id):
        """Return whether an agent accepts new requests.

        Parameters
        ----------
        table : RoutingTable
        node_id : str

        Returns
        -------
        bool
        """
        node = table.node_by_id.get(node_id)
        if node is None or node.leaving or node.lost:
            return False
        return self._leaving_incarnation_by_node.get(node_id, -1) < node.incarnation

    def node_leaving(self, node_id, incarnation):
        """Record an agent's notice that it is leaving.

        Parameters
        ----------
        node_id : str
        incarnation : int
        """
        self._leaving_incarnation_by_node[node_id] = incarnation

    def slots(self, table, model, adapter):
        """Return the total concurrency limit of the usable replicas.

        Parameters
        ----------
        table : RoutingTable
        model, adapter : str

        Returns
        -------
        int
        """
        return sum(
            replica.requests_per_replica for replica in self.usable_replicas(table, model, adapter)
        )

    def in_flight(self, replica_id):
        """Return how many requests of this entry a replica is running.

        Parameters
        ----------
        replica_id : str

        Returns
        -------
        int
        """
        record = self._record_by_id.get(replica_id)
        return record.in_flight if record else 0

    def record_dispatch(self, replica, now, suspect=False):
        """Count a request that starts on a replica.

        Parameters
        ----------
        replica : ReplicaRow
        now : float
        suspect : bool, optional
        """
        record = self._record(replica, now)
        record.in_flight += 1
        record.suspects_in_flight += suspect

    def record_completion(self, replica, outcome, now, suspect=False):
        """Count a request that ended on a replica and record its outcome.

        Parameters
        ----------
        replica : ReplicaRow
        outcome : AttemptOutcome
        now : float
        suspect : bool, optional
        """
        record = self._record(replica, now)
        record.in_flight -= 1
        record.suspects_in_flight -= suspect
        if outcome is AttemptOutcome.ANSWERED:
            record.record_success()
            return
        if outcome is AttemptOutcome.FULL:
            record.record_overload(now)
            return
        if outcome is AttemptOutcome.FAILED and record.record_failure(now):
            COUNTERS.increment("entry_ejections", node=replica.node_id)

    def remove_stale(self, table):
        """Remove the records of replicas and nodes that are no longer in the table.

        Parameters
        ----------
        table : RoutingTable
        """
        for replica_id, record in list(self._record_by_id.items()):
            if replica_id not in table.replica_by_id and not record.in_flight:
                del self._record_by_id[replica_id]
        for node_id in list(self._leaving_incarnation_by_node):
            if node_id not in table.node_by_id:
                del self._leaving_incarnation_by_node[node_id]

    def _record(self, replica, now):
        record = self._record_by_id.get(replica.replica_id)
        if record is None:
            record = EndpointRecord(first_seen_at=now)
            self._record_by_id[replica.replica_id] = record
        return record

    def _exclude_ejected(self, usable, now):
        candidates = [row for row in usable if self._record(row, now).ejected_until <= now]
        if len(candidates) >= len(usable) * (1 - MAX_EJECTED_FRACTION):
            return candidates
        # When most replicas fail, the cause is more likely shared than in the replicas themselves.
        return usable

    def _warm_replica_ids(self, replicas, now):
        return [
            row.replica_id
            for row in replicas
            if now - self._record(row, now).first_seen_at >= SLOW_START_S
        ]

    @staticmethod
    def _concurrency_limit(replica, record, now, others_are_warm):
        age = now - record.first_seen_at
        if not others_are_warm or age >= SLOW_START_S:
            return replica.requests_per_replica
        share = SLOW_START_FRACTION + (1 - SLOW_START_FRACTION) * age / SLOW_START_S
        return max(1, int(replica.requests_per_replica * share))

    def _score(self, table, replica, record, limit):
        node = table.node_by_id[replica.node_id]
        is_remote = node.failure_domain != self._failure_domain
        return (record.in_flight / limit, is_remote, self._random.random())
