"""Committed state of a request that may run at most once."""

from dataclasses import dataclass

from hemlockdock_core.commands import RunState


@dataclass(slots=True)
class RunRecord:
    """Committed state of a request that may run at most once.

    Attributes
    ----------
    key_hash, body_hash : str
    owner : str
        Node id of the entry that claimed the run.
    incarnation : int
    request_id, stream_id : str
    state : RunState
    answer : bytes
    retention_ms : int
    expires_at_ms : int
        When the record expires; while claimed, when the outcome is assumed to be unknown.
    """

    key_hash: str
    body_hash: str
    owner: str
    incarnation: int
    request_id: str
    stream_id: str
    state: RunState
    answer: bytes
    retention_ms: int
    expires_at_ms: int
