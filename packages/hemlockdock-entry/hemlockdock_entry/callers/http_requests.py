"""Helpers for callers' HTTP requests."""

from hemlockdock_core.errors import NotRun, Refusal
from hemlockdock_entry.intake import parse_options


def read_options(http_request):
    """Parse the option headers of an HTTP request.

    Parameters
    ----------
    http_request : twisted.web.server.Request

    Returns
    -------
    result.Result of RequestOptions, Refusal
    """
    headers = {}
    for name, values in http_request.requestHeaders.getAllRawHeaders():
        headers[name.decode("latin-1").lower()] = values[-1].decode("latin-1")
    return parse_options(headers)


def refusal_for_key(refusal, key):
    """Return a refusal that holds for every request with an idempotency key, not just this one.

    Parameters
    ----------
    refusal : Refusal
        Refusal of this request, which was not run.
    key : str
        Idempotency key; empty if the request has none.

    Returns
    -------
    Refusal
    """
    if not key:
        return refusal
    # An earlier request with this key may have run under a different routing table.
    return Refusal.of(refusal.kind, refusal.message, NotRun.UNKNOWN, refusal.retry_after_ms)


def when_finished(http_request):
    """Return a Deferred that fires when an HTTP request ends, normally or by a disconnect.

    Parameters
    ----------
    http_request : twisted.web.server.Request

    Returns
    -------
    twisted.internet.defer.Deferred
    """
    return http_request.notifyFinish().addErrback(lambda failure: None)
