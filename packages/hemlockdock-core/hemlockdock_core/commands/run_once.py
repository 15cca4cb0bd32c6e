"""Keep requests that may run at most once from running twice."""

from enum import StrEnum

from hemlockdock_core.commands.base import BaseCommand


class RunState(StrEnum):
    """Name the state of a run-once record."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimRun(BaseCommand, frozen=True):
    """Claim the one run of a request.

    Refused as ``key_reused`` where the key stands for another body. Where a record is there
    already, the result carries its state, owner, stream and stored answer.

    Attributes
    ----------
    key_hash : str
        Digest of caller and idempotency key.
    body_hash : str
    owner : str
        Node id of the claiming entry.
    incarnation : int
        Incarnation of that entry.
    request_id : str
    stream_id : str
    retention_s : int
    at_ms : int
    """

    key_hash: str
    body_hash: str
    owner: str
    incarnation: int
    request_id: str
    stream_id: str
    retention_s: int
    at_ms: int


class FinishRun(BaseCommand, frozen=True):
    """Record how a claimed run ended.

    Attributes
    ----------
    key_hash : str
    request_id : str
        Of the claim; another one is refused.
    state : RunState
        ``ran``, ``unknown``, or ``not_run`` (which frees the key for a new claim).
    answer : bytes
        Small answers only, as msgpack of status, content type and body; else empty.
    at_ms : int
    """

    key_hash: str
    request_id: str
    state: RunState
    answer: bytes
    at_ms: int
