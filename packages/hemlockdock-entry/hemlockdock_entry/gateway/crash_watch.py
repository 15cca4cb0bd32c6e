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
class EndpointRun:
    """One request at one endpoint.

    Attributes
    ----------
    row : EndpointRow
    fingerprint : str
    parts : tuple of str
        Ids of the parts of its prompt that may explain a crash.
    is_suspect : bool
        Whether the request may explain a crash.
    """

    row: EndpointRow
    fingerprint: str
    parts: tuple
    is_suspect: bool = True


@dataclass(frozen=True, slots=True)
class RunProgress:
    """How far an endpoint had come with a request when its connection was lost.

    Attributes
    ----------
    has_carried_on : bool
        Whether it had been writing the answer for a while.
    has_continued : bool
        Whether it had written events of a stream that another endpoint began: the content alone
        does not crash endpoints.
    """

    has_carried_on: bool
    has_continued: bool


@dataclass(frozen=True, slots=True)
class AnsweredRun:
    """A request that an endpoint has answered just now.

    Attributes
    ----------
    run : EndpointRun
    answered_s : float
    """

    run: EndpointRun
    answered_s: float


@dataclass(slots=True)
class LostConnection:
    """The loss of a connection, until it is known whether the endpoint crashed.

    Attributes
    ----------
    runs : list of EndpointRun
        Requests that the endpoint ran or had just answered.
    waiting : list of callable
        Called without arguments once it is known.
    """

    runs: list = field(default_factory=list)
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
        Takes an EndpointRow and the EndpointRuns that may explain its crash.
    on_answered : callable
        Takes an EndpointRun that its endpoint answered and survived.
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

    def run_lost(self, run):
        """Handle the loss of the connection on which an endpoint ran a request.

        Parameters
        ----------
        run : EndpointRun
        """
        if run.row.endpoint_id not in self._lost_by_id:
            self._start_probe(run.row)
        self._lost_by_id[run.row.endpoint_id].runs.append(run)

    def run_answered(self, run):
        """Handle a complete answer.

        Parameters
        ----------
        run : EndpointRun
        """
        self.settle()
        self._answered.append(AnsweredRun(run, self._clock.seconds()))

    def idle_connection_lost(self, address):
        """Handle the loss of a connection without a request.

        Parameters
        ----------
        address : str
            ``ip:port`` of the endpoint.
        """
        self.settle()
        for answered in self._answered:
            row = answered.run.row
            if row.address != address or row.endpoint_id in self._lost_by_id:
                continue
            self._start_probe(row)
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
            self._on_answered(self._answered.popleft().run)

    def _start_probe(self, row):
        self.settle()
        lost = LostConnection()
        for answered in list(self._answered):
            if answered.run.row.endpoint_id == row.endpoint_id:
                self._answered.remove(answered)
                lost.runs.append(answered.run)
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
            self._on_crash(row, lost.runs)
        for callback in lost.waiting:
            callback()
        self._on_known()
