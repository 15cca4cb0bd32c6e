"""Decide which requests are sent to the engine."""

from collections import Counter

from result import Err, Ok

from hemlockdock_agent.requests.run import Run
from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.node import LoadCounts
from hemlockdock_core.rows import ReplicaState

MAX_ENDED = 50_000
DEFAULT_REQUESTS_PER_REPLICA = 1


class RequestGate:
    """Admit requests to the engine, each attempt at most once.

    Attributes
    ----------
    run_by_key : dict of tuple to Run
        Runs that have not ended.
    refusal_by_key : dict of tuple to Refusal or None
        Refusals of the last ``MAX_ENDED`` ended attempts; None for a complete answer.
    draining : bool
    loads : LoadCounts
        Request counts per model that are reported to control.
    """

    def __init__(self):
        self.run_by_key = {}
        self.refusal_by_key = {}
        self.draining = False
        self.loads = LoadCounts()
        self._in_flight_by_replica = Counter()

    def in_flight(self, replica_id):
        """Return the number of requests in progress on a replica.

        Parameters
        ----------
        replica_id : str

        Returns
        -------
        int
        """
        return self._in_flight_by_replica[replica_id]

    def is_known(self, key):
        """Return whether an attempt was admitted or refused before.

        Parameters
        ----------
        key : tuple of (str, int)

        Returns
        -------
        bool
        """
        return key in self.run_by_key or key in self.refusal_by_key

    def admit(self, dispatch, reader, view, now_ms):
        """Admit a new attempt, or refuse it as not run.

        Parameters
        ----------
        dispatch : Dispatch
        reader : AnswerReader
        view : GateView
        now_ms : float

        Returns
        -------
        result.Ok of Run or result.Err of Refusal
        """
        problem = self._node_problem(dispatch, view) or self._replica_problem(dispatch, view)
        problem = problem or self._capacity_problem(dispatch, view)
        key = (dispatch.request_id, dispatch.attempt)
        if problem is not None:
            refusal = Refusal.of(*problem, NotRun.TRUE)
            self._record_outcome(key, refusal)
            return Err(refusal)
        run = Run(dispatch, reader, now_ms, view.boot_id, last_progress_ms=now_ms)
        self.run_by_key[key] = run
        self._in_flight_by_replica[dispatch.replica_id] += 1
        self.loads.count_arrival(dispatch.model)
        self.loads.count_start(dispatch.model)
        return Ok(run)

    def end(self, run, refusal):
        """Record that a run ended.

        Parameters
        ----------
        run : Run
        refusal : Refusal or None
            None if the answer is complete.

        Returns
        -------
        bool
            False if the run had already ended.
        """
        if run.ended:
            return False
        run.ended = True
        del self.run_by_key[run.key]
        self._in_flight_by_replica[run.dispatch.replica_id] -= 1
        if not self._in_flight_by_replica[run.dispatch.replica_id]:
            del self._in_flight_by_replica[run.dispatch.replica_id]
        self.loads.count_end(run.dispatch.model)
        self._record_outcome(run.key, refusal)
        return True

    def repeat_refusal(self, key):
        """Return the refusal to send for a repeated attempt.

        Parameters
        ----------
        key : tuple of (str, int)

        Returns
        -------
        Refusal or None
            None if the attempt is still running, so that its answer is being sent.
        """
        if key in self.run_by_key:
            return None
        refusal = self.refusal_by_key[key]
        if refusal is not None:
            return refusal
        return Refusal.of(ErrorKind.ALREADY_RAN, "this try was answered before")

    def _node_problem(self, dispatch, view):
        if self.draining:
            return ErrorKind.DRAINING, "the endpoint is leaving"
        if not view.fresh:
            return ErrorKind.NO_CONTROL, "the endpoint has not heard from control"
        if dispatch.deadline_ms <= 0:
            return ErrorKind.DEADLINE_PASSED, "the deadline passed on the way"
        quarantine = view.quarantine
        if quarantine is not None and quarantine.refused and view.wall_ms < quarantine.until_ms:
            return ErrorKind.QUARANTINED, "the request crashed endpoints"
        return None

    def _replica_problem(self, dispatch, view):
        if dispatch.table_revision < view.changed_revision:
            return ErrorKind.STALE_REVISION, "the model has changed since the request was routed"
        held = view.held
        if held is None or not held.ready or view.unloading:
            return ErrorKind.ENGINE_REFUSED, "the replica is not ready here"
        if view.row is None and view.table_revision >= dispatch.table_revision:
            return ErrorKind.STALE_REVISION, "the replica is not decided any more"
        if view.row is not None and view.row.state is ReplicaState.UNLOADING:
            return ErrorKind.ENGINE_REFUSED, "the replica is to be unloaded"
        if held.model != dispatch.model:
            return ErrorKind.STALE_REVISION, "the replica holds another model"
        if dispatch.adapter and dispatch.adapter not in held.adapters:
            return ErrorKind.ENGINE_REFUSED, "the adapter is not loaded here"
        return None

    def _capacity_problem(self, dispatch, view):
        row = view.row
        limit = row.requests_per_replica if row is not None else view.held.requests_per_replica
        if self.in_flight(dispatch.replica_id) >= (limit or DEFAULT_REQUESTS_PER_REPLICA):
            return ErrorKind.QUEUE_FULL, "the replica runs as many requests as it may"
        if dispatch.fingerprint not in view.suspects:
            return None
        for run in self.run_by_key.values():
            if run.dispatch.fingerprint in view.suspects:
                return ErrorKind.NO_CAPACITY, "another suspected request runs here"
        return None

    def _record_outcome(self, key, refusal):
        self.refusal_by_key[key] = refusal
        if len(self.refusal_by_key) > MAX_ENDED:
            del self.refusal_by_key[next(iter(self.refusal_by_key))]
