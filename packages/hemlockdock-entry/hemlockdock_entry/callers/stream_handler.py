"""Handle callers' requests to resume a response stream."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.callers.http_requests import read_options
from hemlockdock_entry.callers.responses import refusal_response
from hemlockdock_entry.callers.submit import submit
from hemlockdock_entry.streams import StreamPosition
from hemlockdock_entry.tasks.resume_exchange import ResumeExchange, resume_request


class StreamHandler:
    """Handle callers' requests to resume a response stream.

    Parameters
    ----------
    coordinator : RequestCoordinator
    new_request_id : callable
        Returns a new request ID.
    """

    def __init__(self, coordinator, new_request_id):
        self._coordinator = coordinator
        self._new_request_id = new_request_id

    def resume(self, http_request, stream_id):
        """Resume a stream after the event named in ``Last-Event-ID``.

        Without that header, the stream starts at the offset in its ID, or at its beginning.

        Parameters
        ----------
        http_request : twisted.web.server.Request
        stream_id : str

        Returns
        -------
        bytes or twisted.internet.defer.Deferred
        """
        options = read_options(http_request)
        if options.is_err():
            return refusal_response(http_request, options.err())
        last_id = http_request.getHeader("last-event-id") or stream_id
        position = StreamPosition.parse(last_id)
        if position is None or position.stream_id != stream_id.partition(":")[0]:
            message = "Last-Event-ID must be the id of an event of this stream"
            return refusal_response(http_request, Refusal.of(ErrorKind.BAD_REQUEST, message))
        now = self._coordinator.clock.seconds()
        request = resume_request(self._new_request_id(), options.ok().caller, now)
        return submit(
            self._coordinator,
            http_request,
            request,
            lambda reply: ResumeExchange(self._coordinator, request, reply, position),
        )
