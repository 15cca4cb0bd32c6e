"""Read callers' HTTP calls."""

from hemlockdock_entry.intake import parse_options


def read_options(http_request):
    """Read a call's headers.

    Parameters
    ----------
    http_request : twisted.web.server.Request

    Returns
    -------
    result.Result of CallOptions, Refusal
    """
    headers = {}
    for name, values in http_request.requestHeaders.getAllRawHeaders():
        headers[name.decode("latin-1").lower()] = values[-1].decode("latin-1")
    return parse_options(headers)


def when_finished(http_request):
    """Return a Deferred that fires when a call is over, whichever way.

    Parameters
    ----------
    http_request : twisted.web.server.Request

    Returns
    -------
    twisted.internet.defer.Deferred
    """
    return http_request.notifyFinish().addErrback(lambda failure: None)
