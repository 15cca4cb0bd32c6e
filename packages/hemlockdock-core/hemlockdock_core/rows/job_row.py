"""Routing table row of a job."""

from hemlockdock_core.rows.base import BaseRow


class JobRow(BaseRow, frozen=True):
    """An accepted job, without its body.

    Attributes
    ----------
    job_id : str
    model : str
    state : str
        ``waiting``, ``running``, ``done`` or ``failed``.
    owner : str
        Node id of the entry that runs it; empty if none does.
    deadline_at_ms : int
        Wall-clock deadline, in milliseconds since the Unix epoch.
    """

    job_id: str
    model: str
    state: str
    owner: str
    deadline_at_ms: int

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"job/{self.job_id}"
