"""Stand in for the platform's list of hosts."""

import json

from klein import Klein

from hemlockdock_standins.loopback_listener import LoopbackListener

MS_PER_S = 1_000.0


class StandInPlatform:
    """Serve a list of hosts that lags behind what happens to them.

    Parameters
    ----------
    reactor : twisted reactor
    lag_ms : float, optional
    port : int, optional
        0 lets the system choose.

    Attributes
    ----------
    url : str
        Of the list, once started.
    """

    app = Klein()

    def __init__(self, reactor, lag_ms=1_000.0, port=0):
        self._reactor = reactor
        self._listener = LoopbackListener(reactor, port)
        self._lag_s = lag_ms / MS_PER_S
        self._changes_by_host = {}
        self.url = ""

    def start(self):
        """Listen."""
        self.url = self._listener.start(self.app.resource()) + "/hosts"

    def stop(self):
        """Stop listening.

        Returns
        -------
        Deferred
        """
        return self._listener.stop()

    def set_state(self, host, state):
        """Change a host's state; the list shows it after the lag.

        Parameters
        ----------
        host : str
        state : str
            ``live``, ``leaving`` or ``gone``.
        """
        changes = self._changes_by_host.setdefault(host, [])
        changes.append((self._reactor.seconds(), state))

    @app.route("/hosts", methods=["GET"])
    def hosts(self, request):
        """Return the list as it was a while ago."""
        horizon_s = self._reactor.seconds() - self._lag_s
        rows = []
        for host, changes in sorted(self._changes_by_host.items()):
            seen = [state for at_s, state in changes if at_s <= horizon_s]
            # A host's first state is known from the start.
            state = seen[-1] if seen else changes[0][1]
            rows.append({"host": host, "state": state})
        request.setHeader(b"content-type", b"application/json")
        return json.dumps({"hosts": rows}).encode()
