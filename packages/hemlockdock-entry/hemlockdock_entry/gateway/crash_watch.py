"""Tell crashes of endpoints from closed connections, and name the requests that may be why."""

from collections import deque
from dataclasses import dataclass, field
from functools import partial

from hemlockdock_core.rows import EndpointRow
from hemlockdock_entry.gateway.connection_pool import ProbeResult

# An endpoint that ends closes its connections one after the other.
PROBE_DELAY_S = 0.01
# An endpoint that ends within this time of a complete answer may have ended because of it.
SETTLE_S = 0.1


@dataclass(frozen=True, slots=True)
class AnsweredRun:
    """A request that an endpoint has answered just now.

    Attributes
    ----------
    row : EndpointRow
    fingerprint : str
    answered_s : float
    """

    row: EndpointRow
    fingerprint: str
    answered_s: float


@dataclass(slots=True)
class LostConnection:
    """The loss of a connection, until it is known whether the endpoint crashed.

    Attributes
    ----------
    fingerprints : set of str
        Requests that the endpoint ran or had just answered.
    waiting : list of callable
        Called without arguments once it is known.
    """

    fingerprints: set = field(default_factory=set)
    waiting: list = field(default_factory=list)


class CrashWatch:
    """Watch for endpoints that refuse connections after they closed one while running a request.

    An endpoint that still accepts connections only lost one. One that neither accepts nor refuses
    them may be frozen or cut off. One that leaves or is no longer listed was shut down.

    Parameters
    ----------
    clock : twisted reactor
    endpoints : PoolEndpoints
    is_in_service : callable
        Takes an EndpointRow; returns whether the endpoint is listed and does not leave.
    on_crash : callable
        Takes an EndpointRow and the fingerprints of the requests that may explain its crash.
    on_answered : callable
        Takes the fingerprint of a request that its endpoint answered and survived.
    on_known : callable
        Called without arguments once an endpoint is no longer in doubt.
    """

    def __init__(self, clock, endpoints, is_in_service, on_crash, on_answered, on_known):
        self._clock = clock
        self._endpoints = endpoints
        self._is_in_service = is_in_service
        self._on_crash = on_crash
        self._on_answered = on_answered
        self._on_known = on_known
        self._lost_by_id = {}
        self._answered = deque()

    def run_lost(self, row, fingerprint):
        """Handle the loss of the connection on which an endpoint ran a request.

        Parameters
        ----------
        row : EndpointRow
        fingerprint : str
        """
        if row.endpoint_id not in self._lost_by_id:
            self._start_probe(row)
        self._lost_by_id[row.endpoint_id].fingerprints.add(fingerprint)

    def run_answered(self, row, fingerprint):
        """Handle a complete answer.

        Parameters
        ----------
        row : EndpointRow
        fingerprint : str
        """
        self.settle()
        self._answered.append(AnsweredRun(row, fingerprint, self._clock.seconds()))

    def idle_connection_lost(self, address):
        """Handle the loss of a connection without a request.

        Parameters
        ----------
        address : str
            ``ip:port`` of the endpoint.
        """
        self.settle()
        for run in self._answered:
            if run.row.address != address or run.row.endpoint_id in self._lost_by_id:
                continue
            self._start_probe(run.row)
            return

    def is_in_doubt(self, endpoint_id):
        """Return whether an endpoint has just closed a connection and may have crashed.

        Parameters
        ----------
        endpoint_id : str

        Returns
        -------
        bool
        """
        return endpoint_id in self._lost_by_id

    def call_when_known(self, row, callback):
        """Call a function once it is known whether an endpoint crashed, or now if nothing was lost.

        Parameters
        ----------
        row : EndpointRow
        callback : callable
        """
        lost = self._lost_by_id.get(row.endpoint_id)
        if lost is None:
            callback()
            return
        lost.waiting.append(callback)

    def settle(self):
        """Report the answers that their endpoints survived."""
        settled_s = self._clock.seconds() - SETTLE_S
        while self._answered and self._answered[0].answered_s < settled_s:
            self._on_answered(self._answered.popleft().fingerprint)

    def _start_probe(self, row):
        self.settle()
        lost = LostConnection()
        for run in list(self._answered):
            if run.row.endpoint_id == row.endpoint_id:
                self._answered.remove(run)
                lost.fingerprints.add(run.fingerprint)
        self._lost_by_id[row.endpoint_id] = lost
        self._clock.callLater(PROBE_DELAY_S, self._probe, row)

    def _probe(self, row):
        if not self._is_in_service(row):
            self._end(row, is_crash=False)
            return
        self._endpoints.connections_to(row).probe(partial(self._probed, row))

    def _probed(self, row, result):
        self._end(row, is_crash=result is ProbeResult.REFUSED)

    def _end(self, row, is_crash):
        lost = self._lost_by_id.pop(row.endpoint_id)
        if is_crash:
            self._on_crash(row, sorted(lost.fingerprints))
        for callback in lost.waiting:
            callback()
        self._on_known()
