"""Hold one try of a request at the engine."""

from dataclasses import dataclass

from hemlockdock_agent.answers.buffer import AnswerBuffer
from hemlockdock_agent.requests.answer_reader import AnswerReader
from hemlockdock_core.messages import Dispatch


@dataclass(slots=True, eq=False)
class Run:
    """Hold one try of a request at the engine.

    Attributes
    ----------
    dispatch : Dispatch
    consumer : Consumer or None
        None where nobody reads the answer any more.
    boot_id : str
        Of the engine that the request went to.
    buffer : AnswerBuffer or None
        Where the answer is kept for callers that reconnect.
    admitted_ms : float
    status : int
        HTTP status; 0 until the head is known.
    content_type : str
    offset : int
        Bytes of the answer so far.
    heard_ms : float
        When the engine last sent bytes.
    resumptions : int
        Times that the engine was asked for the rest since it last sent bytes.
    in_doubt : bool
        Whether its connection broke and the engine is being asked why.
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
    last_progress_ms: float = 0.0
    resumptions: int = 0
    in_doubt: bool = False
    ended: bool = False

    @property
    def key(self):
        """Return what makes a repeated dispatch the same one."""
        return self.dispatch.request_id, self.dispatch.attempt

    @property
    def request_id(self):
        """Return the request's id."""
        return self.dispatch.request_id

    @property
    def streaming(self):
        """Tell whether the answer comes bit by bit."""
        return self.dispatch.streaming
