"""Stand-in for an HTTP service with lookups and bookings."""

import json
from collections import Counter

from klein import Klein
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from hemlockdock_standins.loopback_listener import LoopbackListener

MS_PER_S = 1_000.0


class StandInService:
    """Answer lookups and bookings, and count the executions of each booking.

    Parameters
    ----------
    reactor : twisted reactor
    lookup_ms, booking_ms : float, optional
        Time to answer.
    port : int, optional
        0 selects a free port.

    Attributes
    ----------
    url : str
    lookups : int
    bookings_by_key : collections.Counter
        Executions by ``Idempotency-Key``, or by body if the header is missing.
    drop_bookings : int
        Number of following bookings that are executed but whose connection is dropped.
    """

    app = Klein()

    def __init__(self, reactor, lookup_ms=0.0, booking_ms=0.0, port=0):
        self._reactor = reactor
        self._listener = LoopbackListener(reactor, port)
        self.lookup_ms = lookup_ms
        self.booking_ms = booking_ms
        self.url = ""
        self.lookups = 0
        self.bookings_by_key = Counter()
        self.drop_bookings = 0

    def start(self):
        """Start listening."""
        self.url = self._listener.start(self.app.resource())

    def stop(self):
        """Stop listening.

        Returns
        -------
        Deferred
        """
        return self._listener.stop()

    @app.route("/<path:path>", methods=["GET"])
    @inlineCallbacks
    def look_up(self, request, path):
        """Answer a lookup."""
        self.lookups += 1
        yield self._sleep(self.lookup_ms)
        return self._json(request, {"path": path, "found": True})

    @app.route("/<path:path>", methods=["POST"])
    @inlineCallbacks
    def book(self, request, path):
        """Execute a booking."""
        body = request.content.read()
        key = request.getHeader("idempotency-key") or body.decode("utf-8", "replace")
        yield self._sleep(self.booking_ms)
        self.bookings_by_key[key] += 1
        if self.drop_bookings > 0:
            self.drop_bookings -= 1
            request.transport.abortConnection()
        return self._json(request, {"path": path, "booked": self.bookings_by_key[key]})

    def _json(self, request, value):
        request.setHeader(b"content-type", b"application/json")
        return json.dumps(value).encode()

    def _sleep(self, duration_ms):
        return deferLater(self._reactor, duration_ms / MS_PER_S, lambda: None)
