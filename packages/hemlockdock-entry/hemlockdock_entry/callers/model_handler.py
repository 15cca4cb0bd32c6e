"""Handle callers' model requests."""

from hemlockdock_entry.callers.http_requests import read_options, refusal_for_key
from hemlockdock_entry.callers.responses import refusal_response
from hemlockdock_entry.callers.submit import submit
from hemlockdock_entry.intake import parse_request
from hemlockdock_entry.tasks.exchange import Exchange
from hemlockdock_entry.tasks.once_exchange import OnceExchange


class ModelHandler:
    """Handle callers' model requests.

    Parameters
    ----------
    coordinator : RequestCoordinator
    new_request_id : callable
        Returns a new request ID.
    """

    def __init__(self, coordinator, new_request_id):
        self._coordinator = coordinator
        self._new_request_id = new_request_id

    def run(self, http_request, path):
        """Parse a model request and submit it to the coordinator.

        Parameters
        ----------
        http_request : twisted.web.server.Request
        path : str

        Returns
        -------
        bytes or twisted.internet.defer.Deferred
        """
        options = read_options(http_request)
        if options.is_err():
            return refusal_response(http_request, options.err())
        parsed = parse_request(
            self._coordinator.link.table,
            path,
            http_request.content.read(),
            options.ok(),
            self._new_request_id(),
            self._coordinator.clock.seconds(),
        )
        if parsed.is_err():
            return refusal_response(http_request, refusal_for_key(parsed.err(), options.ok().key))
        request = parsed.ok()
        exchange_type = OnceExchange if request.once else Exchange
        return submit(
            self._coordinator,
            http_request,
            request,
            lambda reply: exchange_type(self._coordinator, request, reply),
        )
