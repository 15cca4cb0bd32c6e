"""Define a parsed request."""

from dataclasses import dataclass


@dataclass(slots=True)
class Request:
    """A caller's request, parsed and with the defaults of its class.

    Attributes
    ----------
    request_id : str
        Hard to guess, because anyone who knows it may read the response.
    caller : str
    model, adapter : str
        The adapter is empty for the base model.
    path : str
        Path of the engine's HTTP API, or path and query of a service request.
    body : bytes
    streaming : bool
        Whether the caller requested server-sent events.
    class_name, kind : str
        Name and kind of the request's class.
    repeatable : bool
    key : str
        Idempotency key; empty for none.
    priority : int
    retention_s : int
    admitted_at, deadline_at : float
        On the entry's clock, in seconds.
    fingerprint : str
        Digest of the model (or service and method), path and body.
    """

    request_id: str
    caller: str
    model: str
    adapter: str
    path: str
    body: bytes
    streaming: bool
    class_name: str
    kind: str
    repeatable: bool
    key: str
    priority: int
    retention_s: int
    admitted_at: float
    deadline_at: float
    fingerprint: str

    @property
    def queue_key(self):
        """Return the key of the queue that the request waits in."""
        return (self.model, self.adapter, self.class_name)

    @property
    def once(self):
        """Whether the request must run at most once, under a run-once claim."""
        return bool(self.key) and not self.repeatable

    def left_ms(self, now):
        """Return the time remaining until the deadline, in milliseconds.

        Parameters
        ----------
        now : float

        Returns
        -------
        int
        """
        return max(0, int((self.deadline_at - now) * 1000))
