"""Refusals of requests, within a process and between processes."""

import msgspec

from hemlockdock_core.errors.kind import ErrorKind
from hemlockdock_core.errors.not_run import NotRun
from hemlockdock_core.errors.promise import NOT_RUN_STATUSES, status_without_promise
from hemlockdock_core.errors.table import RESPONSE_BY_KIND


class Refusal(msgspec.Struct, frozen=True):
    """The reason why a request was refused.

    Attributes
    ----------
    kind : ErrorKind
    message : str
        One sentence, to be read by people.
    not_run : NotRun
    retry_after_ms : int or None
    """

    kind: ErrorKind
    message: str
    not_run: NotRun
    retry_after_ms: int | None = None

    @classmethod
    def of(cls, kind, message, not_run=None, retry_after_ms=None):
        """Create a refusal; values that are not given default to those of its kind.

        Parameters
        ----------
        kind : ErrorKind
        message : str
        not_run : NotRun, optional
            Whether this request is known not to have run; overrides the value of the kind.
        retry_after_ms : int, optional
            Overrides the value of the kind.

        Returns
        -------
        Refusal
        """
        response = RESPONSE_BY_KIND[kind]
        resolved_not_run = response.not_run if not_run is None else not_run
        resolved_retry_after_ms = (
            response.retry_after_ms if retry_after_ms is None else retry_after_ms
        )
        return cls(kind, message, resolved_not_run, resolved_retry_after_ms)

    def without_promise(self):
        """Return this refusal, or one whose status doesn't promise that the request has not run.

        Returns
        -------
        Refusal
        """
        if RESPONSE_BY_KIND[self.kind].status not in NOT_RUN_STATUSES:
            return self
        not_run = NotRun.UNKNOWN if self.not_run is NotRun.TRUE else self.not_run
        return Refusal.of(ErrorKind.ENDPOINT_LOST, self.message, not_run)

    @property
    def status(self):
        """Return the HTTP status code: of the kind, or 502 where that would be a false promise."""
        status = RESPONSE_BY_KIND[self.kind].status
        return status if self.not_run is NotRun.TRUE else status_without_promise(status)

    def body(self):
        """Return the JSON object that is sent to the client, as a dict."""
        return {
            "error": {
                "kind": self.kind.value,
                "message": self.message,
                "not_run": self.not_run.value,
                "retry_after_ms": self.retry_after_ms,
            }
        }
