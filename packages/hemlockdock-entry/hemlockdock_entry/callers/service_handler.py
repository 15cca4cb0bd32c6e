"""Handle callers' requests to plain HTTP services."""

from hemlockdock_entry.callers.http_requests import read_options, refusal_for_key, when_finished
from hemlockdock_entry.callers.responses import refusal_response
from hemlockdock_entry.callers.service_reply import ServiceReply
from hemlockdock_entry.intake import parse_service_request
from hemlockdock_entry.services import ServiceCall
from hemlockdock_entry.services.headers import forwarded_headers

PREFIX_SEGMENTS = 3


class ServiceHandler:
    """Handle callers' requests to plain HTTP services.

    Parameters
    ----------
    coordinator : RequestCoordinator
    services : ServiceDispatcher
    new_request_id : callable
        Returns a new request ID.
    """

    def __init__(self, coordinator, services, new_request_id):
        self._coordinator = coordinator
        self._services = services
        self._new_request_id = new_request_id

    def call(self, http_request, name):
        """Parse a service request and submit it to the coordinator.

        Parameters
        ----------
        http_request : twisted.web.server.Request
        name : str

        Returns
        -------
        bytes or twisted.internet.defer.Deferred
        """
        options = read_options(http_request)
        if options.is_err():
            return refusal_response(http_request, options.err())
        method = http_request.method.decode("ascii", "replace")
        target = service_target(http_request.uri.decode("latin-1"))
        parsed = parse_service_request(
            self._coordinator.link.table,
            name,
            method,
            target,
            http_request.content.read(),
            options.ok(),
            self._new_request_id(),
            self._coordinator.clock.seconds(),
        )
        if parsed.is_err():
            refusal = refusal_for_key(parsed.err(), options.ok().key)
            return refusal_response(http_request, refusal)
        request = parsed.ok()
        finished = when_finished(http_request)
        reply = ServiceReply(http_request, request.request_id)
        headers = forwarded_headers(http_request.requestHeaders)
        call = ServiceCall(
            self._coordinator, self._services, name, request, method, target, headers, reply
        )
        reply.on_disconnect = call.caller_gone
        self._coordinator.submit(call)
        return finished


def service_target(uri):
    """Return the part of a request URI after ``/services/name``.

    Parameters
    ----------
    uri : str

    Returns
    -------
    str
        Path and query, with the caller's encoding unchanged.
    """
    parts = uri.split("/", PREFIX_SEGMENTS)
    if len(parts) > PREFIX_SEGMENTS:
        return "/" + parts[PREFIX_SEGMENTS]
    _, separator, query = uri.partition("?")
    return separator + query
