"""Send one try of a request to an agent."""

from hemlockdock_core.messages.message import Message


class Dispatch(Message, frozen=True):
    """Send one try of a request to an agent. Entry to agent.

    Attributes
    ----------
    request_id : str
        Minted by the entry; unique across its incarnations.
    attempt : int
        From 1.
    model : str
    adapter : str
        Empty for the base model.
    replica_id : str
    table_revision : int
        Revision of the table the choice was made from.
    path : str
        Path at the engine, such as ``/v1/chat/completions``.
    body : bytes
        JSON as the caller sent it.
    deadline_ms : int
        Time left, in milliseconds.
    streaming : bool
    priority : int
    fingerprint : str
        Digest of what the request would run.
    run_once : bool
    resumable : bool
        Whether the agent keeps the answer for a caller that reconnects.
    """

    request_id: str
    attempt: int
    model: str
    adapter: str
    replica_id: str
    table_revision: int
    path: str
    body: bytes
    deadline_ms: int
    streaming: bool
    priority: int
    fingerprint: str
    run_once: bool
    resumable: bool
