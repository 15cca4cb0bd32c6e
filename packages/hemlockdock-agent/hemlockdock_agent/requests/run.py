"""Define the state of one attempt at a request."""

from dataclasses import dataclass, field

from hemlockdock_agent.answers.buffer import AnswerBuffer
from hemlockdock_agent.requests.answer_reader import AnswerReader
from hemlockdock_core.http.event_end import EventEndTracker, is_event_stream
from hemlockdock_core.messages import Dispatch


@dataclass(slots=True, eq=False)
class Run:
    """Hold the state of one attempt at a request on the engine.

    Attributes
    ----------
    dispatch : Dispatch
    reader : AnswerReader or None
        None if the answer no longer has a reader.
    boot_id : str
        Boot id of the engine at the time of admission.
    buffer : AnswerBuffer or None
        Stores the answer for callers that reconnect.
    admitted_ms : float
    status : int
        HTTP status; 0 until the response head was received.
    content_type : str
    offset : int
        Number of bytes of the answer received so far.
    event_ends : EventEndTracker
        Used if the answer is an event stream.
    last_progress_ms : float
        When the engine last sent bytes, or was last asked to resume.
    resumptions : int
        Number of resume requests since the engine last sent bytes.
    in_doubt : bool
        Whether the connection broke and the engine is being probed for a crash.
    ended : bool
    """

    dispatch: Dispatch
    reader: AnswerReader | None
    admitted_ms: float
    boot_id: str = ""
    buffer: AnswerBuffer | None = None
    status: int = 0
    content_type: str = ""
    offset: int = 0
    event_ends: EventEndTracker = field(default_factory=EventEndTracker)
    last_progress_ms: float = 0.0
    resumptions: int = 0
    in_doubt: bool = False
    ended: bool = False

    @property
    def key(self):
        """Return the key by which a repeated dispatch is recognized."""
        return self.dispatch.request_id, self.dispatch.attempt

    @property
    def request_id(self):
        """Return the request's id."""
        return self.dispatch.request_id

    @property
    def inside_event(self):
        """Return whether the answer is an event stream whose last event is incomplete so far."""
        return is_event_stream(self.content_type) and self.event_ends.inside_event

    @property
    def streaming(self):
        """Return whether the answer is streamed."""
        return self.dispatch.streaming
