"""HTTP routes of a stand-in engine."""

import hashlib
import json

from klein import Klein
from twisted.internet.defer import Deferred, inlineCallbacks

CACHE_PREFIX_BYTES = 64
ORDER_KINDS = ("load", "unload", "load_adapter", "unload_adapter", "role")


class EngineRoutes:
    """Route HTTP requests to the components of an engine.

    Parameters
    ----------
    engine : StandInEngine
    """

    app = Klein()

    def __init__(self, engine):
        self._engine = engine

    @app.route("/v1/chat/completions", methods=["POST"])
    @app.route("/v1/completions", methods=["POST"])
    @inlineCallbacks
    def complete(self, request):
        """Answer a completion request."""
        engine = self._engine
        prefix = hashlib.blake2b(
            request.content.read(CACHE_PREFIX_BYTES), digest_size=8
        ).hexdigest()
        request.content.seek(0)
        engine.reports.record_prefix(request.getHeader("x-replica-id") or "", prefix)
        engine.reports.record_running(engine.requests.running + 1)
        yield engine.requests.serve(request)
        engine.reports.record_running(engine.requests.running)
        yield Deferred()

    @app.route("/streams/<request_id>", methods=["GET"])
    @inlineCallbacks
    def resume(self, request, request_id):
        """Resume an answer at a byte offset."""
        offset = int(request.args.get(b"offset", [b"0"])[0])
        yield self._engine.requests.resume(request, request_id, offset)
        yield Deferred()

    @app.route("/cancel", methods=["POST"])
    def cancel(self, request):
        """Stop generating for a request."""
        payload = json.loads(request.content.read())
        known = self._engine.requests.cancel(payload["request_id"])
        return self._json(request, 200, {"known": known})

    @app.route("/orders/<kind>", methods=["POST"])
    @inlineCallbacks
    def order(self, request, kind):
        """Execute an order."""
        engine = self._engine
        if kind not in ORDER_KINDS:
            return self._json(request, 404, {"detail": "unknown order"})
        order = json.loads(request.content.read())
        status, answer = yield engine.orders.execute(kind, order)
        if engine.options.lose_order_answers > 0:
            engine.options.lose_order_answers -= 1
            request.transport.abortConnection()
            yield Deferred()
        return self._json(request, status, answer)

    @app.route("/inventory", methods=["GET"])
    def inventory(self, request):
        """Return the loaded replicas, the cached checkpoints and the orders in progress."""
        engine = self._engine
        in_memory, on_disk = engine.store.cached(engine.options.host)
        answer = {
            "boot_id": engine.boot_id,
            "memory_mb": engine.options.memory_mb,
            "used_mb": engine.state.used_mb,
            "highest_fence": engine.state.highest_fence,
            "loaded": engine.state.inventory(),
            "orders_in_flight": list(engine.orders.fences_in_flight),
            "cached_in_memory": sorted(in_memory),
            "cached_on_disk": sorted(on_disk),
        }
        return self._json(request, 200, answer)

    @app.route("/load", methods=["GET"])
    def load(self, request):
        """Return the delayed load report."""
        return self._json(request, 200, self._engine.reports.load())

    @app.route("/cache_events", methods=["GET"])
    def cache_events(self, request):
        """Return the delayed cache events, with gaps."""
        after = int(request.args.get(b"after", [b"0"])[0])
        return self._json(request, 200, {"events": self._engine.reports.events_after(after)})

    @app.route("/health", methods=["GET"])
    def health(self, request):
        """Return the boot id, which changes at every restart."""
        if self._engine.options.hang_health:
            return Deferred()
        return self._json(request, 200, {"boot_id": self._engine.boot_id})

    def _json(self, request, status, value):
        request.setResponseCode(status)
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(value).encode()
