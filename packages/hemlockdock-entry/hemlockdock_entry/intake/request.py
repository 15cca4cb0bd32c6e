"""Hold one admitted request."""

from dataclasses import dataclass


@dataclass(slots=True)
class Request:
    """Hold one request as the caller meant it.

    Attributes
    ----------
    request_id : str
        Hard to guess, so that knowing it is the right to read its answer.
    caller : str
    model, adapter : str
        Adapter is empty for the base model.
    path : str
        Path at the engine.
    body : bytes
    streaming : bool
        Whether the caller asked for server-sent events.
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
        Digest of model, path and body.
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
    def queue_name(self):
        """Return the key of the queue that the request waits in."""
        return (self.model, self.adapter, self.class_name)

    @property
    def once(self):
        """Tell whether the request runs under a run-once claim."""
        return bool(self.key) and not self.repeatable

    def left_ms(self, now):
        """Return the time left before the deadline, in milliseconds.

        Parameters
        ----------
        now : float

        Returns
        -------
        int
        """
        return max(0, int((self.deadline_at - now) * 1000))
