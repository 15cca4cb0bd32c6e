"""The response that a client gets for an error kind."""

from dataclasses import dataclass

from hemlockdock_core.errors.not_run import NotRun


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to errors of one kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    not_run : NotRun
        Whether the request is known not to have run, judging by the kind alone.
    retry_after_ms : int or None
        Delay after which a retry may succeed, in milliseconds; None if a retry is pointless.
    """

    status: int
    not_run: NotRun
    retry_after_ms: int | None
