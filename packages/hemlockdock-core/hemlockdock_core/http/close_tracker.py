"""Connections of twisted's HTTP client that tell a clean close from a reset."""

from twisted.internet.endpoints import HostnameEndpoint, wrapClientTLS
from twisted.internet.error import ConnectionDone
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.web.client import Agent, BrowserLikePolicyForHTTPS
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from hemlockdock_core.http.head_tracker import HeadTracker

TLS_SCHEME = b"https"


class CloseTracker:
    """Tells how the connection that is just being closed has ended.

    Twisted reports the end of a body without a length or chunks in the same way after a clean close
    and after a reset.

    Attributes
    ----------
    closed_cleanly : bool
        True while the end of a connection is handled that its peer closed without a reset.
    """

    def __init__(self):
        self.closed_cleanly = False

    def open_agent(self, reactor, pool, connect_timeout_s):
        """Return an HTTP client whose connections are tracked.

        Parameters
        ----------
        reactor : twisted reactor
        pool : HTTPConnectionPool
        connect_timeout_s : float

        Returns
        -------
        twisted.web.client.Agent
        """
        endpoints = _TrackedEndpoints(reactor, connect_timeout_s, self)
        return Agent.usingEndpointFactory(reactor, endpoints, pool)


@implementer(IAgentEndpointFactory)
class _TrackedEndpoints:
    def __init__(self, reactor, connect_timeout_s, tracker):
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s
        self._tracker = tracker
        self._tls_policy = BrowserLikePolicyForHTTPS()

    def endpointForURI(self, uri):
        endpoint = HostnameEndpoint(
            self._reactor, uri.host, uri.port, timeout=self._connect_timeout_s
        )
        if uri.scheme == TLS_SCHEME:
            options = self._tls_policy.creatorForNetloc(uri.host, uri.port)
            endpoint = wrapClientTLS(options, endpoint)
        return _TrackedEndpoint(endpoint, self._tracker)


class _TrackedEndpoint:
    def __init__(self, endpoint, tracker):
        self._endpoint = endpoint
        self._tracker = tracker

    def connect(self, factory):
        connected = self._endpoint.connect(_TrackedFactory(factory, self._tracker))
        return connected.addCallback(lambda connection: connection.wrappedProtocol)


class _TrackedFactory(WrappingFactory):
    noisy = False

    def __init__(self, factory, tracker):
        super().__init__(factory)
        self.tracker = tracker

    def buildProtocol(self, addr):
        return _TrackedConnection(self, self.wrappedFactory.buildProtocol(addr))


class _TrackedConnection(ProtocolWrapper):
    """Also aborts the connection if the head of a response does not end or has no known status."""

    def __init__(self, factory, wrapped_protocol):
        super().__init__(factory, wrapped_protocol)
        self._head = HeadTracker()

    def writeSequence(self, data):
        # The client writes the head of a request so, and its body by ``write``.
        self._head = HeadTracker()
        super().writeSequence(data)

    def dataReceived(self, data):
        self._head.feed(data)
        if self._head.is_malformed:
            self.transport.abortConnection()
            return
        super().dataReceived(data)

    def connectionLost(self, reason):
        tracker = self.factory.tracker
        tracker.closed_cleanly = reason.check(ConnectionDone) is not None
        try:
            super().connectionLost(reason)
        finally:
            tracker.closed_cleanly = False
