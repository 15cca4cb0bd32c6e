"""Commands that ensure that a request with an idempotency key runs at most once."""

from enum import StrEnum

from hemlockdock_core.commands.base import BaseCommand


class RunState(StrEnum):
    """The state of a run-once record."""

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimRun(BaseCommand, frozen=True):
    """Claim the right to run a request, which is granted once per idempotency key.

    Refused as ``key_reused`` if the key was used with another body. If there is a record already,
    the result has its state, owner, stream and stored response.

    Attributes
    ----------
    key_hash : str
        Digest of the caller and the idempotency key.
    body_hash : str
        Digest of the request's body.
    owner : str
        Node id of the claiming entry.
    incarnation : int
        Incarnation of that entry.
    request_id : str
    stream_id : str
    retention_s : int
        Time for which the record is kept.
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
    """Record the outcome of a claimed run.

    Attributes
    ----------
    key_hash : str
    request_id : str
        Request id of the claim; any other is refused.
    state : RunState
        ``ran``, ``unknown``, or ``not_run`` (which releases the key for a new claim).
    answer : bytes
        Status, content type and body as MessagePack; empty if the response is too large.
    at_ms : int
    """

    key_hash: str
    request_id: str
    state: RunState
    answer: bytes
    at_ms: int
