"""Hold one request that a stand-in engine runs."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineRun:
    """Hold one request.

    Attributes
    ----------
    request_id : str
    body : bytes
    texts : list of str
        Tokens of the whole answer.
    streaming : bool
    faults : set of str
        Markers found in the body.
    next_token : int
    skip_bytes : int
        Bytes of the answer that the reader has already.
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
