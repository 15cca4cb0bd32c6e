"""Send orders and questions to the engine beside the agent."""

import logging

from twisted.internet.defer import inlineCallbacks

from hemlockdock_core.http import CallFailedError
from hemlockdock_core.wire import OrderAnswer

logger = logging.getLogger(__name__)

# The engine is on the same host.
REPORT_TIMEOUT_S = 0.25
ORDER_TIMEOUT_S = 1.5
# A probe waits for a slot like any request.
PROBE_TIMEOUT_S = 2.0
JSON_HEADERS = (("Content-Type", "application/json"),)


class FleetEngineClient:
    """Send orders and questions to one engine.

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
        """Ask the engine what it holds.

        Returns
        -------
        Deferred of EngineReport or None
            None where no readable answer came.
        """
        path = self._wire.report_path
        try:
            body = yield self._client.read(self._address, path, REPORT_TIMEOUT_S)
            return self._wire.decode_report(body)
        except (CallFailedError, ValueError) as error:
            logger.debug("no report", extra={"problem": str(error)})
            return None

    @inlineCallbacks
    def endpoint_id(self, probe_path):
        """Ask the engine which endpoint it is.

        Parameters
        ----------
        probe_path : str

        Returns
        -------
        Deferred of str
            Empty where it doesn't say.
        """
        try:
            answer = yield self._client.call(
                "GET", self._address, probe_path, timeout_s=PROBE_TIMEOUT_S
            )
        except CallFailedError as error:
            logger.info("engine unnamed", extra={"problem": str(error)})
            return ""
        return answer.head.value(self._wire.headers.endpoint_id).decode("latin-1")

    @inlineCallbacks
    def order(self, order, endpoint_id):
        """Give the engine an order.

        Parameters
        ----------
        order : EngineOrder
        endpoint_id : str
            The only endpoint that the order is meant for.

        Returns
        -------
        Deferred of OrderAnswer
            Unknown where the order may or may not have been taken on.
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
            )
        except CallFailedError as error:
            found = OrderAnswer.UNKNOWN if error.sent else OrderAnswer.BUSY
            logger.info("order unanswered", extra={"order": repr(order), "problem": str(error)})
            return found
        found = self._wire.decode_order_answer(answer.head.status)
        logger.info("order answered", extra={"order": repr(order), "answer": found.value})
        return found
