"""Carry one refusal between the parts of a process and between processes."""

import msgspec

from hemlockdock_core.errors.kind import ErrorKind
from hemlockdock_core.errors.not_run import NotRun
from hemlockdock_core.errors.table import ANSWER_BY_KIND


class Refusal(msgspec.Struct, frozen=True):
    """Say why a request was refused.

    Attributes
    ----------
    kind : ErrorKind
    message : str
        One sentence for a person.
    not_run : NotRun
    retry_after_ms : int or None
    """

    kind: ErrorKind
    message: str
    not_run: NotRun
    retry_after_ms: int | None = None

    @classmethod
    def of(cls, kind, message, not_run=None, retry_after_ms=None):
        """Make a refusal, taking from the table what is not given.

        Parameters
        ----------
        kind : ErrorKind
        message : str
        not_run : NotRun, optional
            What is known of this very request; it overrides the table.
        retry_after_ms : int, optional

        Returns
        -------
        Refusal
        """
        answer = ANSWER_BY_KIND[kind]
        known = answer.not_run if not_run is None else not_run
        retry = answer.retry_after_ms if retry_after_ms is None else retry_after_ms
        return cls(kind, message, known, retry)

    @property
    def status(self):
        """Return the HTTP status code of this refusal's kind."""
        return ANSWER_BY_KIND[self.kind].status

    def body(self):
        """Return the JSON object a caller is sent, as a dict."""
        return {
            "error": {
                "kind": self.kind.value,
                "message": self.message,
                "not_run": self.not_run.value,
                "retry_after_ms": self.retry_after_ms,
            }
        }
