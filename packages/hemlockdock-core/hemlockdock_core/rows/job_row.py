"""Tell the entries of a job that waits to be run."""

from hemlockdock_core.rows.base import BaseRow


class JobRow(BaseRow, frozen=True):
    """Describe one accepted job without its body.

    Attributes
    ----------
    job_id : str
    model : str
    state : str
        ``waiting``, ``running``, ``done`` or ``failed``.
    owner : str
        Node id of the entry that runs it; empty where none does.
    deadline_at_ms : int
        Wall-clock deadline, in milliseconds since 1970.
    """

    job_id: str
    model: str
    state: str
    owner: str
    deadline_at_ms: int

    @property
    def key(self):
        """Return the row's key."""
        return f"job/{self.job_id}"
