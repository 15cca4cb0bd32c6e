"""Handle a caller's reconnection to a streamed answer."""

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_entry.intake import Request
from hemlockdock_entry.tasks.attempt import Attempt
from hemlockdock_entry.tasks.exchange import Exchange
from hemlockdock_entry.tasks.planned_stop import LIVE_KIND

RESUME_DEADLINE_S = 30.0
CLASS_NAME = "resume"


def resume_request(request_id, caller, now):
    """Return a request object that represents a reconnection.

    Parameters
    ----------
    request_id : str
        Id of the reconnection, not of the request that it reads.
    caller : str
    now : float

    Returns
    -------
    Request
    """
    return Request(
        request_id=request_id,
        caller=caller,
        model="",
        adapter="",
        path="",
        body=b"",
        streaming=True,
        class_name=CLASS_NAME,
        kind=LIVE_KIND,
        repeatable=False,
        key="",
        priority=0,
        retention_s=0,
        admitted_at=now,
        deadline_at=now + RESUME_DEADLINE_S,
        fingerprint="",
    )


class ResumeExchange(Exchange):
    """A caller's reconnection to an answer that an agent buffers.

    Parameters
    ----------
    coordinator : RequestCoordinator
    request : Request
        Made by ``resume_request``.
    reply : Reply
    position : StreamPosition
        Position in the answer at which the caller continues.
    """

    def __init__(self, coordinator, request, reply, position):
        super().__init__(coordinator, request, reply)
        self._position = position

    @property
    def owns_run(self):
        """Return whether this request started the run, as opposed to reading another one's."""
        return False

    def begin(self):
        """Request the rest of the answer from the agent."""
        position = self._position
        node = self.coordinator.link.table.node_by_id.get(position.node_id)
        if node is None or node.lost:
            message = f"agent {position.node_id!r} is not there any more"
            self.refuse(Refusal.of(ErrorKind.UNKNOWN_STREAM, message))
            return
        earlier = self.coordinator.exchange(position.request_id)
        if earlier is not None:
            earlier.reader_returned()
        self.life.dispatch()
        self.attempt = Attempt(
            self.coordinator, position.request_id, node, self, True, position.offset
        )
        self.attempt.resume()

    def on_end(self):
        """Handle the end of the answer."""
        self.attempt = None
        self.life.answer()
        self._end()
        self.reply.end()

    def on_failed(self, refusal):
        """Handle that the rest of the answer is not available."""
        self.attempt = None
        self.refuse(refusal)

    def _stop_run(self):
        # The run belongs to the original request: stop reading it, but don't cancel it.
        if self.attempt is not None:
            self.attempt.close()
            self.attempt = None
        super()._stop_run()
