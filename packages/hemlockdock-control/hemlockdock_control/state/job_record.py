"""Hold what is committed about one job."""

from dataclasses import dataclass

from hemlockdock_core.rows import JobRow

WAITING = "waiting"
RUNNING = "running"
DONE = "done"
FAILED = "failed"
END_STATES = frozenset({DONE, FAILED})


@dataclass(slots=True)
class JobRecord:
    """Hold what is committed about one job.

    Attributes
    ----------
    job_id, caller, model, path : str
    body : bytes
        Empty once the job has ended.
    body_hash : str
    deadline_at_ms : int
    retention_ms : int
    repeatable : bool
    state : str
    owner : str
    incarnation : int
        Of the owner.
    payload : bytes
        Result, or the refusal's JSON.
    expires_at_ms : int
        When an ended job's record ends; 0 while it has not ended.
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
        """Tell whether the job has its result or refusal."""
        return self.state in END_STATES

    @property
    def stored_bytes(self):
        """Return how much body and result take."""
        return len(self.body) + len(self.payload)

    def due(self, now_ms):
        """Tell whether its deadline passed while it waited, or its retention is over.

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
        """Return the row that entries see while the job has not ended."""
        return JobRow(self.job_id, self.model, self.state, self.owner, self.deadline_at_ms)
