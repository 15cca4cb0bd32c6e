"""Submit a caller's request to the coordinator."""

from hemlockdock_entry.callers.http_reply import HttpReply
from hemlockdock_entry.callers.http_requests import when_finished

MS_PER_S = 1_000


def submit(coordinator, http_request, request, create_exchange):
    """Submit a request whose response is written to an open HTTP request.

    Parameters
    ----------
    coordinator : RequestCoordinator
    http_request : twisted.web.server.Request
    request : Request
    create_exchange : callable
        Takes the HttpReply and returns the Exchange to submit.

    Returns
    -------
    twisted.internet.defer.Deferred
        Fires when the HTTP request has ended.
    """
    finished = when_finished(http_request)
    stall_s = coordinator.settings.entry.stall_ms / MS_PER_S
    reply = HttpReply(http_request, coordinator.clock, request.request_id, stall_s)
    exchange = create_exchange(reply)
    reply.on_disconnect = exchange.caller_gone
    coordinator.submit(exchange)
    return finished
