"""Committed state of a job."""

from dataclasses import dataclass

from hemlockdock_core.rows import JobRow

WAITING = "waiting"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
FINAL_STATES = frozenset({DONE, FAILED})


@dataclass(slots=True)
class JobRecord:
    """Committed state of a job.

    Attributes
    ----------
    job_id, caller, model, path : str
    body : bytes
        Cleared when the job ends.
    body_hash : str
    deadline_at_ms : int
    retention_ms : int
    repeatable : bool
    state : str
    owner : str
    incarnation : int
        Incarnation of the owner.
    payload : bytes
        The result, or the refusal as JSON.
    expires_at_ms : int
        When the record of an ended job expires; 0 until the job ends.
    """

    job_id: str
    caller: str
    model: str
    path: str
    body: bytes
    body_hash: str
    deadline_at_ms: int
    retention_ms: int
    repeatable: bool
    state: str = WAITING
    owner: str = ""
    incarnation: int = 0
    payload: bytes = b""
    expires_at_ms: int = 0

    @property
    def ended(self):
        """Return whether the job is done or failed."""
        return self.state in FINAL_STATES

    @property
    def stored_bytes(self):
        """Return the total size of the body and the result."""
        return len(self.body) + len(self.payload)

    def is_due(self, now_ms):
        """Return whether a waiting job's deadline or an ended job's retention has passed.

        Parameters
        ----------
        now_ms : int

        Returns
        -------
        bool
        """
        if self.ended:
            return self.expires_at_ms <= now_ms
        return self.state == WAITING and self.deadline_at_ms <= now_ms

    def row(self):
        """Return the routing table row, which exists until the job ends."""
        return JobRow(self.job_id, self.model, self.state, self.owner, self.deadline_at_ms)
