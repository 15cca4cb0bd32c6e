"""Send requests to one engine over HTTP."""

import json
import logging

import msgspec
import treq
from twisted.internet.defer import inlineCallbacks, succeed
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from hemlockdock_agent.engine.inventory import EngineInventory
from hemlockdock_agent.engine.order_reply import OrderReply
from hemlockdock_core.http.body_receiver import read_body
from hemlockdock_core.http.close_tracker import CloseTracker

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 2.0
PROBE_TIMEOUT_S = 2.0
MAX_PERSISTENT_CONNECTIONS = 512
# Answers to orders and inventory requests.
MAX_CONTROL_BYTES = 4 * 1024 * 1024
MS_PER_S = 1_000.0
INVENTORY_DECODER = msgspec.json.Decoder(EngineInventory)


@implementer(IBodyProducer)
class BytesProducer:
    """Produce a request body in a single write.

    Parameters
    ----------
    body : bytes
    """

    def __init__(self, body):
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer):
        """Write the body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self):
        """Do nothing, since the body was written in one call."""

    def resumeProducing(self):
        """Do nothing, since the body was written in one call."""

    def stopProducing(self):
        """Do nothing, since the body was written in one call."""


class EngineClient:
    """Send requests to one engine.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings

    Attributes
    ----------
    close_tracker : CloseTracker
        Tells how the connection to the engine that is just being closed has ended.
    """

    def __init__(self, reactor, settings):
        self.close_tracker = CloseTracker()
        self._reactor = reactor
        self._url = settings.agent.engine_url.rstrip("/")
        self._pool = HTTPConnectionPool(reactor, persistent=True)
        self._pool.maxPersistentPerHost = MAX_PERSISTENT_CONNECTIONS
        # A request whose connection was closed may have run, so it must not be retried here.
        self._pool.retryAutomatically = False
        self._calls = set()
        self._agent = self.close_tracker.open_agent(reactor, self._pool, CONNECT_TIMEOUT_S)

    def close(self):
        """Cancel pending calls and close idle connections.

        Returns
        -------
        Deferred
        """
        for call in list(self._calls):
            call.cancel()
        return self._pool.closeCachedConnections()

    def order(self, kind, order, timeout_ms):
        """Send an order.

        Parameters
        ----------
        kind : str
            Last segment of the path.
        order : dict
        timeout_ms : int

        Returns
        -------
        Deferred of OrderReply
        """
        return self._track(self._order(kind, order, timeout_ms))

    @inlineCallbacks
    def _order(self, kind, order, timeout_ms):
        try:
            response = yield treq.post(
                f"{self._url}/orders/{kind}",
                json.dumps(order).encode(),
                agent=self._agent,
                timeout=timeout_ms / MS_PER_S,
                unbuffered=True,
            )
            content = yield self._read(response)
        except Exception as error:
            return OrderReply(None, type(error).__name__)
        return OrderReply.of_status(response.code, content.decode("utf-8", "replace"))

    def inventory(self):
        """Request the inventory of the engine.

        Returns
        -------
        Deferred of EngineInventory or None
            None if the request failed.
        """
        return self._track(self._inventory())

    @inlineCallbacks
    def _inventory(self):
        try:
            response = yield treq.get(
                f"{self._url}/inventory",
                agent=self._agent,
                timeout=PROBE_TIMEOUT_S,
                unbuffered=True,
            )
            content = yield self._read(response)
            return INVENTORY_DECODER.decode(content)
        except Exception as error:
            logger.debug("inventory request failed", extra={"problem": type(error).__name__})
            return None

    def cancel(self, request_id):
        """Request that the engine stops generating for a request.

        Parameters
        ----------
        request_id : str

        Returns
        -------
        Deferred
        """
        return self._track(self._cancel(request_id))

    @inlineCallbacks
    def _cancel(self, request_id):
        try:
            response = yield treq.post(
                f"{self._url}/cancel",
                json.dumps({"request_id": request_id}).encode(),
                agent=self._agent,
                timeout=PROBE_TIMEOUT_S,
                unbuffered=True,
            )
            yield self._read(response)
        except Exception as error:
            logger.debug("cancel request failed", extra={"problem": type(error).__name__})

    def run(self, dispatch):
        """Send one inference request.

        Parameters
        ----------
        dispatch : Dispatch

        Returns
        -------
        Deferred of twisted.web.iweb.IResponse
        """
        headers = {
            "Content-Type": ["application/json"],
            "X-Request-Id": [dispatch.request_id],
            "X-Replica-Id": [dispatch.replica_id],
            "X-Priority": [str(dispatch.priority)],
        }
        if dispatch.adapter:
            headers["X-Adapter"] = [dispatch.adapter]
        url = (self._url + dispatch.path).encode()
        return self._agent.request(b"POST", url, Headers(headers), BytesProducer(dispatch.body))

    def resume(self, request_id, offset):
        """Request the rest of an answer after its connection broke.

        Parameters
        ----------
        request_id : str
        offset : int
            Bytes received so far.

        Returns
        -------
        Deferred of twisted.web.iweb.IResponse
        """
        url = f"{self._url}/streams/{request_id}?offset={offset}"
        return self._agent.request(b"GET", url.encode())

    def _read(self, response):
        body = read_body(response, self.close_tracker, MAX_CONTROL_BYTES)
        return body.addTimeout(PROBE_TIMEOUT_S, self._reactor)

    def _track(self, call):
        self._calls.add(call)

        def forget(result):
            self._calls.discard(call)
            return result

        return call.addBoth(forget)
