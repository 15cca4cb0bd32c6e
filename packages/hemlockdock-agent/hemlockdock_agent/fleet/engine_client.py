"""Send orders and queries to the engine of a fleet agent."""

import logging

from twisted.internet.defer import inlineCallbacks

from hemlockdock_core.http import CallFailedError
from hemlockdock_core.wire import EngineOrderResponse

logger = logging.getLogger(__name__)

# Short, since the engine runs on the same host.
REPORT_TIMEOUT_S = 0.25
# An order that is sent again is carried out once, as it carries its sequence number.
ORDER_TIMEOUT_S = 0.3
# A probe waits for a free slot on the engine like any other request.
PROBE_TIMEOUT_S = 2.0
# Separate connections: an order without an answer, or a probe that waits for a slot, must not make
# the engine appear not to respond.
REPORT_CONNECTION = "reports"
ORDER_CONNECTION = "orders"
PROBE_CONNECTION = "probes"
JSON_HEADERS = (("Content-Type", "application/json"),)


class FleetEngineClient:
    """Send orders and queries to one engine of a fleet.

    Parameters
    ----------
    settings : Settings
    wire : Wire
    client : HttpClient
    """

    def __init__(self, settings, wire, client):
        self._address = settings.fleet.engine
        self._wire = wire
        self._client = client

    @inlineCallbacks
    def report(self):
        """Request the engine's report of its state.

        Returns
        -------
        Deferred of EngineReport or None
            None if the request failed or the response could not be decoded.
        """
        path = self._wire.report_path
        try:
            body = yield self._client.read(self._address, path, REPORT_TIMEOUT_S, REPORT_CONNECTION)
            return self._wire.decode_report(body)
        except (CallFailedError, ValueError) as error:
            logger.debug("engine report failed", extra={"problem": str(error)})
            return None

    @inlineCallbacks
    def endpoint_id(self, probe_path):
        """Request the endpoint id of the engine.

        Parameters
        ----------
        probe_path : str

        Returns
        -------
        Deferred of str
            Empty if the engine does not report one.
        """
        try:
            answer = yield self._client.call(
                "GET",
                self._address,
                probe_path,
                timeout_s=PROBE_TIMEOUT_S,
                connection=PROBE_CONNECTION,
            )
        except CallFailedError as error:
            logger.info("endpoint id request failed", extra={"problem": str(error)})
            return ""
        return answer.head.value(self._wire.headers.endpoint_id).decode("latin-1")

    @inlineCallbacks
    def order(self, order, endpoint_id):
        """Send an order to the engine.

        Parameters
        ----------
        order : EngineOrder
        endpoint_id : str
            The only endpoint that may accept the order.

        Returns
        -------
        Deferred of EngineOrderResponse
            ``UNKNOWN`` if the engine may or may not have accepted the order.
        """
        expected = self._wire.headers.expected_endpoint.decode()
        headers = (*JSON_HEADERS, (expected, endpoint_id))
        try:
            answer = yield self._client.call(
                "POST",
                self._address,
                self._wire.order_path,
                headers,
                self._wire.encode_order(order),
                ORDER_TIMEOUT_S,
                ORDER_CONNECTION,
            )
        except CallFailedError as error:
            order_answer = EngineOrderResponse.UNKNOWN if error.sent else EngineOrderResponse.BUSY
            logger.info("order unanswered", extra={"order": repr(order), "problem": str(error)})
            return order_answer
        order_answer = self._wire.decode_order_response(answer.head.status)
        logger.info("order answered", extra={"order": repr(order), "answer": order_answer.value})
        return order_answer
