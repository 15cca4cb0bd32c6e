"""Serve an agent's health and metrics."""

import json

from klein import Klein

from hemlockdock_core.metrics import COUNTERS, GAUGES, LATENCIES
from hemlockdock_core.metrics.exposition import exposition

OK = 200
UNAVAILABLE = 503


class StatusPages:
    """Serve an agent's health and metrics.

    Parameters
    ----------
    problem_of : callable
        Returns why the agent is not ready, or an empty string if it is.
    gauges_of : callable
        Returns a dict of str to float.
    """

    app = Klein()

    def __init__(self, problem_of, gauges_of):
        self._problem_of = problem_of
        self._gauges_of = gauges_of

    @app.route("/healthz", methods=["GET"])
    def health(self, request):
        """Report that the process is alive."""
        return self._json(request, OK, {"status": "ok"})

    @app.route("/readyz", methods=["GET"])
    def readiness(self, request):
        """Report whether the agent accepts requests."""
        problem = self._problem_of()
        if problem:
            return self._json(request, UNAVAILABLE, {"status": "not ready", "problem": problem})
        return self._json(request, OK, {"status": "ready"})

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request):
        """Return the metrics in the Prometheus text format."""
        request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return exposition(COUNTERS, LATENCIES, self._gauges_of(), GAUGES)

    def _json(self, request, status, value):
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(value).encode()
