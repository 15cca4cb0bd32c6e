"""Stand-in for the platform's list of hosts."""

import json

from klein import Klein

from hemlockdock_standins.loopback_listener import LoopbackListener

MS_PER_S = 1_000.0


class StandInPlatform:
    """Serve a list of hosts that shows changes of state after a delay.

    Parameters
    ----------
    reactor : twisted reactor
    lag_ms : float, optional
        Delay until a change of state is visible.
    port : int, optional
        0 selects a free port.

    Attributes
    ----------
    url : str
        URL of the list, set by `start`.
    """

    app = Klein()

    def __init__(self, reactor, lag_ms=1_000.0, port=0):
        self._reactor = reactor
        self._listener = LoopbackListener(reactor, port)
        self._lag_s = lag_ms / MS_PER_S
        self._changes_by_host = {}
        self.url = ""

    def start(self):
        """Start listening."""
        self.url = self._listener.start(self.app.resource()) + "/hosts"

    def stop(self):
        """Stop listening.

        Returns
        -------
        Deferred
        """
        return self._listener.stop()

    def set_state(self, host, state):
        """Change a host's state; the list shows the change after the lag.

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
        """Return the list as it was ``lag_ms`` ago."""
        cutoff_s = self._reactor.seconds() - self._lag_s
        host_rows = []
        for host, changes in sorted(self._changes_by_host.items()):
            visible_states = [state for at_s, state in changes if at_s <= cutoff_s]
            # The first state of a host is visible without delay.
            state = visible_states[-1] if visible_states else changes[0][1]
            host_rows.append({"host": host, "state": state})
        request.setHeader(b"content-type", b"application/json")
        return json.dumps({"hosts": host_rows}).encode()
