"""State of a request at a stand-in engine."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineRun:
    """State of one request.

    Attributes
    ----------
    request_id : str
    body : bytes
    texts : list of str
        Tokens of the complete answer.
    streaming : bool
    faults : set of bytes
        Fault markers found in the body.
    next_token : int
        Index of the token that is written next.
    skip_bytes : int
        Bytes of the answer still to skip because the reader has them.
    cancelled : bool
    """

    request_id: str
    body: bytes
    texts: list
    streaming: bool
    faults: set
    next_token: int = 0
    skip_bytes: int = 0
    cancelled: bool = False
