"""Refusals that are true also for a request which may have run."""

from hemlockdock_core.errors import ErrorKind, Refusal


def truthful_refusal(exchange, kind, message, retry_after_ms=None):
    """Return a refusal of a kind that promises that the request has not run, if that is true.

    Parameters
    ----------
    exchange : ProxyExchange
    kind : ErrorKind
    message : str
    retry_after_ms : int, optional
        Overrides the value of the kind.

    Returns
    -------
    Refusal
        Of kind ``endpoint_lost`` if an attempt of the request may have run.
    """
    if exchange.may_have_run:
        return Refusal.of(ErrorKind.ENDPOINT_LOST, message)
    return Refusal.of(kind, message, retry_after_ms=retry_after_ms)
