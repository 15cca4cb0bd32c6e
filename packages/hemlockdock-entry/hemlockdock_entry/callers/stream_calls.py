"""Let callers reconnect to their answers."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.callers.call_reader import read_options
from hemlockdock_entry.callers.submit import submit
from hemlockdock_entry.callers.write import refusal_answer
from hemlockdock_entry.streams import StreamPlace
from hemlockdock_entry.tasks.resume_exchange import ResumeExchange, resume_request


class StreamCalls:
    """Let callers reconnect to their answers.

    Parameters
    ----------
    coordinator : RequestCoordinator
    mint : callable
        Returns a new request id.
    """

    def __init__(self, coordinator, mint):
        self._coordinator = coordinator
        self._mint = mint

    def resume(self, http_request, stream_id):
        """Pass on the rest of an answer.

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
            return refusal_answer(http_request, options.err())
        last_id = http_request.getHeader("last-event-id") or stream_id
        place = StreamPlace.parse(last_id)
        if place is None or place.stream_id != stream_id.partition(":")[0]:
            message = "Last-Event-ID must be the id of an event of this stream"
            return refusal_answer(http_request, Refusal.of(ErrorKind.BAD_REQUEST, message))
        now = self._coordinator.clock.seconds()
        request = resume_request(self._mint(), options.ok().caller, now)
        return submit(
            self._coordinator,
            http_request,
            request,
            lambda reply: ResumeExchange(self._coordinator, request, reply, place),
        )
