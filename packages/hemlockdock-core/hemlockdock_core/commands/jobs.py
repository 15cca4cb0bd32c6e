"""Keep durable jobs."""

from hemlockdock_core.commands.base import BaseCommand


class SubmitJob(BaseCommand, frozen=True):
    """Accept a job; the same id again returns the job as it is.

    Attributes
    ----------
    job_id : str
    caller : str
    model : str
        Model or adapter that the caller named.
    path : str
        Path at the engine.
    body : bytes
    deadline_at_ms : int
        Wall clock, in milliseconds since 1970.
    retention_s : int
    repeatable : bool
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
    """Take a waiting job, or one whose owner's incarnation is gone, to run it.

    The result's payload is the job's body.

    Attributes
    ----------
    job_id : str
    owner : str
    incarnation : int
    at_ms : int
    """

    job_id: str
    owner: str
    incarnation: int
    at_ms: int


class FinishJob(BaseCommand, frozen=True):
    """Record a job's result, or give it back.

    Attributes
    ----------
    job_id : str
    owner : str
    incarnation : int
    state : str
        ``done``, ``failed`` or ``waiting`` (to give it back).
    payload : bytes
        Result, or the refusal's JSON.
    at_ms : int
    """

    job_id: str
    owner: str
    incarnation: int
    state: str
    payload: bytes
    at_ms: int


class ReadJob(BaseCommand, frozen=True):
    """Read a job's state and result; changes nothing.

    Attributes
    ----------
    job_id : str
    caller : str
        Only this caller's job is returned.
    """

    job_id: str
    caller: str
