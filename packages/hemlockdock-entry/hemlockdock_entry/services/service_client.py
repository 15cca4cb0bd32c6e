"""Send HTTP requests to plain services."""

import treq
from twisted.internet.error import ConnectError
from twisted.web.client import HTTPConnectionPool

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.http.body_receiver import read_body
from hemlockdock_core.http.close_tracker import CloseTracker
from hemlockdock_entry.services.headers import forwarded_headers
from hemlockdock_entry.services.service_answer import ServiceAnswer

CONNECTIONS_PER_INSTANCE = 256
CONNECT_TIMEOUT_S = 2.0


class ServiceFailedError(Exception):
    """Raised when a call ends without an answer.

    Parameters
    ----------
    refusal : Refusal
    """

    def __init__(self, refusal):
        super().__init__(refusal.message)
        self.refusal = refusal


class ServiceClient:
    """HTTP client for plain services with a connection pool.

    Parameters
    ----------
    reactor : twisted reactor
    """

    def __init__(self, reactor):
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = CONNECTIONS_PER_INSTANCE
        # Retries by the HTTP library would bypass the retry budget.
        self._pool.retryAutomatically = False
        self._close_tracker = CloseTracker()
        agent = self._close_tracker.open_agent(reactor, self._pool, CONNECT_TIMEOUT_S)
        self._client = treq.client.HTTPClient(agent)

    def call(self, method, url, headers, body):
        """Send one request.

        Parameters
        ----------
        method, url : str
        headers : dict of str to list of str
        body : bytes

        Returns
        -------
        twisted.internet.defer.Deferred of ServiceAnswer
            Fails with ServiceFailedError.
        """
        answered = self._client.request(
            method, url, headers=headers, data=body, allow_redirects=False, unbuffered=True
        )
        answered.addCallback(self._read)
        answered.addErrback(_failed)
        return answered

    def close(self):
        """Close idle connections.

        Returns
        -------
        twisted.internet.defer.Deferred
        """
        return self._pool.closeCachedConnections()

    def _read(self, response):
        headers = forwarded_headers(response.headers)
        body = read_body(response, self._close_tracker)
        return body.addCallback(lambda data: ServiceAnswer(response.code, headers, data))


def _failed(failure):
    if failure.check(ConnectError):
        message = "no connection to the service"
        raise ServiceFailedError(Refusal.of(ErrorKind.ENDPOINT_LOST, message, NotRun.TRUE))
    message = "the service broke off the call"
    raise ServiceFailedError(Refusal.of(ErrorKind.ENDPOINT_LOST, message, NotRun.UNKNOWN))
