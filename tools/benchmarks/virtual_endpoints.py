"""Simulate agents and their engines in virtual time."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    CrashNotice,
    Dispatch,
    Refused,
    SoundNotice,
)
from hemlockdock_core.rows import NodeRow, QuarantineRow, ReplicaRow, ReplicaState
from hemlockdock_entry.routing import handle_notice

LINK_DELAY_S = 0.0005
CRASH_DELAY_S = 0.05
COMMIT_DELAY_S = 0.05
RELOAD_DELAY_S = 5.0
CRASHES_BEFORE_REFUSAL = 2
QUARANTINE_MS = 600_000
CONTENT_TYPE = "application/json"


class VirtualEndpoints:
    """Simulated endpoints that run several dispatched requests each, for a random time.

    Parameters
    ----------
    clock : twisted.internet.task.Clock
    table : RoutingTable
        Shared by all entries.
    random_source : random.Random
    count : int
        Number of endpoints; each has one replica of model ``m``.
    slots : int
        Maximum number of concurrent requests of one endpoint.
    service_s : callable
        Takes a Dispatch and a node id, and returns the run time in seconds.

    Attributes
    ----------
    coordinators : list of RequestCoordinator
    lost : int
        Number of engine crashes.
    failure_rate : float
        Fraction of the requests that fail at the end of their run.
    poison_fingerprint : str
        Requests with this fingerprint crash the engine; empty for none.
    in_touch : bool
        Whether control hears of crashes.
    runs : int
        Number of requests started.
    """

    def __init__(self, clock, table, random_source, count, slots, service_s):
        self.coordinators = []
        self.lost = 0
        self.failure_rate = 0.0
        self.poison_fingerprint = ""
        self.in_touch = True
        self.runs = 0
        self._clock = clock
        self._table = table
        self._random = random_source
        self._slots = slots
        self._service_s = service_s
        self._running_by_node = {}
        self._crashes_by_fingerprint = {}
        for number in range(count):
            self._add_endpoint(f"agent-{number}", 1)

    def sender(self, number):
        """Return the function by which an entry sends messages to agents.

        Parameters
        ----------
        number : int
            Index of the entry in ``coordinators``.

        Returns
        -------
        callable
        """
        return lambda address, message: self._clock.callLater(
            LINK_DELAY_S, self._handle_message, number, address, message
        )

    def _handle_message(self, number, node_id, message):
        if isinstance(message, CrashNotice | SoundNotice):
            handle_notice(message, f"entry-{number}", self.coordinators[int(node_id)].crashes)
            return
        if not isinstance(message, Dispatch):
            return
        running = self._running_by_node.get(node_id)
        if running is None:
            self._reply_refusal(number, node_id, message, ErrorKind.ENGINE_REFUSED)
            return
        if len(running) >= self._slots:
            self._reply_refusal(number, node_id, message, ErrorKind.QUEUE_FULL)
            return
        self.runs += 1
        running[message.request_id] = (number, message)
        if message.fingerprint == self.poison_fingerprint:
            self._clock.callLater(CRASH_DELAY_S, self._crash_engine, node_id, running)
            return
        seconds = self._service_s(message, node_id)
        self._clock.callLater(seconds, self._finish_run, node_id, running, message)

    def _finish_run(self, node_id, running, message):
        entry = running.pop(message.request_id, None)
        if entry is None:
            return
        number, _ = entry
        if self._random.random() < self.failure_rate:
            self._reply_refusal(number, node_id, message, ErrorKind.ENGINE_FAILED)
            return
        ids = (message.request_id, message.attempt)
        for frame in (
            AnswerHead(*ids, 200, CONTENT_TYPE),
            AnswerChunk(*ids, 0, b"{}"),
            AnswerEnd(*ids, 2),
        ):
            self._reply(number, node_id, frame)

    def _crash_engine(self, node_id, running):
        if self._running_by_node.get(node_id) is not running:
            return
        self.lost += 1
        del self._running_by_node[node_id]
        self._table.delete(f"replica/r-{node_id}")
        fingerprints = {message.fingerprint for _, message in running.values()}
        for number, message in running.values():
            self._reply_refusal(number, node_id, message, ErrorKind.ENDPOINT_LOST)
        if self.in_touch:
            self._clock.callLater(COMMIT_DELAY_S, self._commit_crash, fingerprints)
        self._clock.callLater(RELOAD_DELAY_S, self._add_endpoint, node_id, 2)

    def _commit_crash(self, fingerprints):
        for fingerprint in fingerprints:
            crashes = self._crashes_by_fingerprint.get(fingerprint, 0) + 1
            self._crashes_by_fingerprint[fingerprint] = crashes
            refused = crashes >= CRASHES_BEFORE_REFUSAL
            self._table.put(QuarantineRow(fingerprint, crashes, refused, QUARANTINE_MS))
        self._notify_coordinators()

    def _add_endpoint(self, node_id, incarnation):
        self._running_by_node[node_id] = {}
        self._table.put(NodeRow(node_id, "agent", node_id, "a", node_id, incarnation, False, False))
        self._table.put(
            ReplicaRow(f"r-{node_id}", "m", "v1", node_id, ReplicaState.READY, 1, [], self._slots)
        )
        self._notify_coordinators()

    def _notify_coordinators(self):
        for coordinator in self.coordinators:
            coordinator.table_changed()

    def _reply_refusal(self, number, node_id, message, kind):
        refusal = Refusal.of(kind, kind.value)
        self._reply(number, node_id, Refused(message.request_id, message.attempt, refusal))

    def _reply(self, number, node_id, frame):
        self._clock.callLater(
            LINK_DELAY_S, self.coordinators[number].attempts.handle, frame, node_id
        )
