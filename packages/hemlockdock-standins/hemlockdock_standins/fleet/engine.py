"""Stand-in for one engine of a fleet: executes load orders and streams events."""

import re

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hemlockdock_core.wire import EngineOrder, EngineReport, LoadedModel, OrderAction
from hemlockdock_core.wire.own import HEADERS, WIRE

LOAD_S = 0.2
EVENT_COUNT = 3
EVENT_INTERVAL_S = 0.02
ACCEPTED = 202
BUSY = 409
MISDIRECTED = 421
PROBE_PATH = "/"
LEDGER_PATH = "/ledger"
# Tests set here the limit that the engine names; an empty body for none.
LIMIT_PATH = "/limit"
# Tests set here the status with which every second run fails once begun; an empty body for none.
FAILURE_PATH = "/failure"
# A path with this suffix asks for a response of that many kilobytes.
LONG_RESPONSE = re.compile(rb"/kilobytes-(\d+)$")
KILOBYTE = b"x" * 1_000

ORDER_DECODER = msgspec.json.Decoder(EngineOrder)


class EngineHistory(msgspec.Struct):
    """Requests and orders that an engine has received, for checks by tests.

    Attributes
    ----------
    endpoint_id : str
    runs : list of str
        Ids of the requests that the engine ran, in order.
    orders : list of EngineOrder
        Accepted orders, in order.
    most_models : int
        Largest number of models loaded at the same time.
    """

    endpoint_id: str
    runs: list[str]
    orders: list[EngineOrder]
    most_models: int


class FleetEngine(Resource):
    """Handle the requests, reports and orders of one engine.

    Parameters
    ----------
    reactor : twisted reactor
    endpoint_id : str
    models : iterable of str
        Models loaded at the start.

    Attributes
    ----------
    ledger : EngineHistory
    """

    isLeaf = True

    def __init__(self, reactor, endpoint_id, models=()):
        super().__init__()
        self._reactor = reactor
        self._endpoint_id = endpoint_id
        self._models = set(models)
        self._sequence = 0
        self._busy = False
        self._limit = b""
        self._failure = b""
        self.ledger = EngineHistory(endpoint_id, [], [], len(self._models))

    def render(self, request):
        """Handle one HTTP request."""
        path = request.path.decode()
        if path == WIRE.report_path:
            return msgspec.json.encode(self._report())
        if path == LEDGER_PATH:
            return msgspec.json.encode(self.ledger)
        if path == LIMIT_PATH:
            self._limit = request.content.read()
            return b""
        if path == FAILURE_PATH:
            self._failure = request.content.read()
            return b""
        if not self._is_addressed_to_this_endpoint(request):
            request.setResponseCode(MISDIRECTED)
            return b""
        if path == WIRE.order_path:
            return self._accept_order(request)
        if path == PROBE_PATH:
            request.setHeader(HEADERS.endpoint_id, self._endpoint_id)
            return b""
        return self._run(request)

    def _is_addressed_to_this_endpoint(self, request):
        expected = request.getHeader(HEADERS.expected_endpoint)
        return expected is None or expected == self._endpoint_id.encode()

    def _report(self):
        models = tuple(LoadedModel(name, 1, frozenset()) for name in sorted(self._models))
        cached = frozenset(self._models)
        return EngineReport(
            1,
            self._sequence,
            self._busy,
            False,
            None,
            models,
            frozenset(),
            cached,
            cached,
            0,
            0,
            0,
            0,
        )

    def _accept_order(self, request):
        order = ORDER_DECODER.decode(request.content.read())
        if self._busy or order.expected_sequence != self._sequence:
            request.setResponseCode(BUSY)
            return b""
        self._sequence += 1
        self._busy = True
        self.ledger.orders.append(order)
        self._reactor.callLater(LOAD_S, self._execute_order, order)
        request.setResponseCode(ACCEPTED)
        return b""

    def _execute_order(self, order):
        self._busy = False
        if order.action is OrderAction.LOAD:
            self._models.add(order.model)
            self.ledger.most_models = max(self.ledger.most_models, len(self._models))
        else:
            self._models.discard(order.model)

    def _run(self, request):
        request_id = (request.getHeader(HEADERS.request_id) or b"").decode()
        model = request.getHeader(HEADERS.model)
        model = None if model is None else model.decode()
        request.setHeader(HEADERS.request_id, request_id)
        if model is not None and model not in self._models:
            request.setResponseCode(MISDIRECTED)
            return b""
        if self._limit:
            request.setHeader(HEADERS.request_limit, self._limit)
        self.ledger.runs.append(request_id)
        signature = f"{self._endpoint_id}.{len(self.ledger.runs)}"
        request.setHeader(HEADERS.signature, signature)
        if self._failure and len(self.ledger.runs) % 2:
            request.setResponseCode(int(self._failure))
            return b"failed"
        long_response = LONG_RESPONSE.search(request.path)
        kilobytes = 0 if long_response is None else int(long_response.group(1))
        if model is None:
            return KILOBYTE * kilobytes or b"ran " + request_id.encode()
        request.setHeader(b"Content-Type", b"text/event-stream")
        if kilobytes:
            return b"".join(
                b"id: %d\ndata: %b\n\n" % (n, KILOBYTE) for n in range(1, kilobytes + 1)
            )
        self._send_event(request, int(request.getHeader(HEADERS.last_event_id) or 0) + 1)
        return NOT_DONE_YET

    def _send_event(self, request, number):
        if request.channel is None:
            return
        if number > EVENT_COUNT:
            request.finish()
            return
        request.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
        self._reactor.callLater(EVENT_INTERVAL_S, self._send_event, request, number + 1)
