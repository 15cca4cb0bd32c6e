"""Route callers' HTTP calls."""

from klein import Klein

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS, LATENCIES, exposition
from hemlockdock_entry.callers.http_reply import HttpReply
from hemlockdock_entry.callers.write import json_answer, refusal_answer
from hemlockdock_entry.intake import parse_options, parse_request

MS_PER_S = 1_000


class CallerApi:
    """Route callers' HTTP calls.

    Parameters
    ----------
    desk : Desk
    mint : callable
        Returns a new request id.
    """

    app = Klein()

    def __init__(self, desk, mint):
        self._desk = desk
        self._mint = mint

    @app.route("/v1/chat/completions", methods=["POST"])
    def chat_completions(self, http_request):
        """Run one chat request."""
        return self._run(http_request, "/v1/chat/completions")

    @app.route("/v1/completions", methods=["POST"])
    def completions(self, http_request):
        """Run one completion request."""
        return self._run(http_request, "/v1/completions")

    @app.route("/healthz", methods=["GET"])
    def health(self, http_request):
        """Tell that the process lives."""
        return json_answer(http_request, 200, {"status": "ok"})

    @app.route("/readyz", methods=["GET"])
    def readiness(self, http_request):
        """Tell whether the entry takes new requests."""
        ready = self._desk.link.fresh and not self._desk.draining
        status = "ready" if ready else "not ready"
        return json_answer(http_request, 200 if ready else 503, {"status": status})

    @app.route("/metrics", methods=["GET"])
    def metrics(self, http_request):
        """Write the metrics."""
        gauges = {"entry_in_progress": self._desk.in_progress}
        http_request.setHeader(b"content-type", b"text/plain; version=0.0.4")
        return exposition(COUNTERS, LATENCIES, gauges)

    @app.handle_errors(Exception)
    def failed(self, http_request, failure):
        """Answer a call that this code failed on."""
        return self._failed(http_request, failure)

    def _failed(self, http_request, failure):
        status = getattr(failure.value, "code", 500)
        if status == 500:
            refusal = Refusal.of(ErrorKind.INTERNAL, "internal error")
        else:
            refusal = Refusal.of(ErrorKind.BAD_REQUEST, f"no such call ({status})")
        return refusal_answer(http_request, refusal)

    def _run(self, http_request, path):
        options = parse_options(header_map(http_request))
        if options.is_err():
            return refusal_answer(http_request, options.err())
        body = http_request.content.read()
        now = self._desk.clock.seconds()
        table = self._desk.link.table
        parsed = parse_request(table, path, body, options.ok(), self._mint(), now)
        if parsed.is_err():
            return refusal_answer(http_request, parsed.err())
        request = parsed.ok()
        stall_s = self._desk.settings.entry.stall_ms / MS_PER_S
        reply = HttpReply(http_request, self._desk.clock, request.request_id, stall_s)
        finished = when_finished(http_request)
        exchange = self._desk.submit(request, reply)
        reply.on_gone = exchange.caller_gone
        return finished


def header_map(http_request):
    """Return a call's headers by lower-case name, the last of each.

    Parameters
    ----------
    http_request : twisted.web.server.Request

    Returns
    -------
    dict of str to str
    """
    headers = {}
    for name, values in http_request.requestHeaders.getAllRawHeaders():
        headers[name.decode("latin-1").lower()] = values[-1].decode("latin-1")
    return headers


def when_finished(http_request):
    """Return a Deferred that fires when a call is over, whichever way.

    Parameters
    ----------
    http_request : twisted.web.server.Request

    Returns
    -------
    twisted.internet.defer.Deferred
    """
    return http_request.notifyFinish().addErrback(lambda failure: None)
