"""Describe what a caller is told for one error kind."""

from dataclasses import dataclass

from hemlockdock_core.errors.not_run import NotRun


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the answer to one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    not_run : NotRun
        What the kind by itself says about the request having run.
    retry_after_ms : int or None
        When asking again makes sense, in milliseconds; None where it never does.
    """

    status: int
    not_run: NotRun
    retry_after_ms: int | None
