"""Stand in for one engine of a fleet: it loads models as ordered, and streams events."""

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from hemlockdock_core.wire import EngineOrder, EngineReport, LoadedModel, OrderAction
from hemlockdock_core.wire.own import HEADERS, WIRE

LOAD_S = 0.2
EVENTS = 3
EVENT_S = 0.02
ACCEPTED = 202
BUSY = 409
MISDIRECTED = 421
PROBE_PATH = "/"

LEDGER_PATH = "/ledger"

ORDER_DECODER = msgspec.json.Decoder(EngineOrder)


class Ledger(msgspec.Struct):
    """Hold what an engine has seen, for tests to judge.

    Attributes
    ----------
    endpoint_id : str
    runs : list of str
        Ids of the requests that were run, in order.
    orders : list of EngineOrder
        Those that were accepted, in order.
    most_models : int
        Most models that were loaded at any time.
    """

    endpoint_id: str
    runs: list[str]
    orders: list[EngineOrder]
    most_models: int


class FleetEngine(Resource):
    """Answer requests, reports and orders of one engine.

    Parameters
    ----------
    reactor : twisted reactor
    endpoint_id : str
    models : iterable of str
        Loaded at the start.

    Attributes
    ----------
    ledger : Ledger
    """

    isLeaf = True

    def __init__(self, reactor, endpoint_id, models=()):
        super().__init__()
        self._reactor = reactor
        self._endpoint_id = endpoint_id
        self._models = set(models)
        self._sequence = 0
        self._busy = False
        self.ledger = Ledger(endpoint_id, [], [], len(self._models))

    def render(self, request):
        """Answer one call."""
        path = request.path.decode()
        if path == WIRE.report_path:
            return msgspec.json.encode(self._report())
        if path == LEDGER_PATH:
            return msgspec.json.encode(self.ledger)
        if not self._is_meant(request):
            request.setResponseCode(MISDIRECTED)
            return b""
        if path == WIRE.order_path:
            return self._order(request)
        if path == PROBE_PATH:
            request.setHeader(HEADERS.endpoint_id, self._endpoint_id)
            return b""
        return self._run(request)

    def _is_meant(self, request):
        expected = request.getHeader(HEADERS.expected_endpoint)
        return expected is None or expected == self._endpoint_id.encode()

    def _report(self):
        models = tuple(LoadedModel(name, 1, frozenset()) for name in sorted(self._models))
        known = frozenset(self._models)
        return EngineReport(
            1,
            self._sequence,
            self._busy,
            False,
            None,
            models,
            frozenset(),
            known,
            known,
            0,
            0,
            0,
            0,
        )

    def _order(self, request):
        order = ORDER_DECODER.decode(request.content.read())
        if self._busy or order.expected_sequence != self._sequence:
            request.setResponseCode(BUSY)
            return b""
        self._sequence += 1
        self._busy = True
        self.ledger.orders.append(order)
        self._reactor.callLater(LOAD_S, self._carry_out, order)
        request.setResponseCode(ACCEPTED)
        return b""

    def _carry_out(self, order):
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
        self.ledger.runs.append(request_id)
        mark = f"{self._endpoint_id}.{len(self.ledger.runs)}"
        request.setHeader(HEADERS.signature, mark)
        if model is None:
            return b"ran " + request_id.encode()
        request.setHeader(b"Content-Type", b"text/event-stream")
        self._send_event(request, 1)
        return NOT_DONE_YET

    def _send_event(self, request, number):
        if request.channel is None:
            return
        request.write(b"id: %d\ndata: piece %d\n\n" % (number, number))
        if number == EVENTS:
            request.finish()
            return
        self._reactor.callLater(EVENT_S, self._send_event, request, number + 1)
