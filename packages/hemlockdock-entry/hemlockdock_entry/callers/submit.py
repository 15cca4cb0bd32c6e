"""Hand a caller's request over to the coordinator."""

from hemlockdock_entry.callers.call_reader import when_finished
from hemlockdock_entry.callers.http_reply import HttpReply

MS_PER_S = 1_000


def submit(coordinator, http_request, request, make_exchange):
    """Submit a request whose answer goes to an open HTTP call.

    Parameters
    ----------
    coordinator : RequestCoordinator
    http_request : twisted.web.server.Request
    request : Request
    make_exchange : callable
        Takes the HttpReply and returns the Exchange to submit.

    Returns
    -------
    twisted.internet.defer.Deferred
        Fires when the call is finished.
    """
    finished = when_finished(http_request)
    stall_s = coordinator.settings.entry.stall_ms / MS_PER_S
    reply = HttpReply(http_request, coordinator.clock, request.request_id, stall_s)
    exchange = make_exchange(reply)
    reply.on_gone = exchange.caller_gone
    coordinator.submit(exchange)
    return finished
