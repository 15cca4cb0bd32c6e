"""Commands about durable jobs."""

from hemlockdock_core.commands.base import BaseCommand


class SubmitJob(BaseCommand, frozen=True):
    """Accept a job; for an id that exists already, return that job unchanged.

    Attributes
    ----------
    job_id : str
    caller : str
    model : str
        Model or adapter that the client named.
    path : str
        Path of the engine's API.
    body : bytes
    deadline_at_ms : int
        Wall-clock deadline, in milliseconds since the Unix epoch.
    retention_s : int
        Time for which the result is kept.
    repeatable : bool
        Whether the job may run more than once.
    at_ms : int
    """

    job_id: str
    caller: str
    model: str
    path: str
    body: bytes
    deadline_at_ms: int
    retention_s: int
    repeatable: bool
    at_ms: int


class ClaimJob(BaseCommand, frozen=True):
    """Claim a job to run it, if it is waiting or its owner's incarnation is gone.

    The result's payload is the job's body.

    Attributes
    ----------
    job_id : str
    owner : str
        Node id of the entry that claims the job.
    incarnation : int
        Incarnation of that entry.
    at_ms : int
    """

    job_id: str
    owner: str
    incarnation: int
    at_ms: int


class FinishJob(BaseCommand, frozen=True):
    """Record a job's result, or return the job to the waiting state.

    Attributes
    ----------
    job_id : str
    owner : str
    incarnation : int
    state : str
        ``done``, ``failed`` or ``waiting`` (to return it).
    payload : bytes
        The result, or the refusal as JSON.
    at_ms : int
    """

    job_id: str
    owner: str
    incarnation: int
    state: str
    payload: bytes
    at_ms: int


class ReadJob(BaseCommand, frozen=True):
    """Read a job's state and result, without changing anything.

    Attributes
    ----------
    job_id : str
    caller : str
        The job is returned only if it belongs to this caller.
    """

    job_id: str
    caller: str
