"""Refusals of requests that no endpoint may get."""

import logging

from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)


def unsendable_refusal(gateway, exchange):
    """Return the refusal of a request that no endpoint may get, or None.

    Parameters
    ----------
    gateway : Gateway
    exchange : ProxyExchange

    Returns
    -------
    Refusal or None
        If its key was removed, if it crashed endpoints, or if the entry stops before it would end.
    """
    refusal = exchange.key.removal_refusal(exchange)
    if refusal is not None:
        return refusal
    refusal = gateway.quarantine.refusal(exchange)
    if refusal is not None or gateway.stop_schedule.allows(exchange):
        return refusal
    return Refusal.of(ErrorKind.DRAINING, "it could outlive the entry, which stops")


def quarantine_refusal(exchange, key, crash_ids, left_ms, message):
    """Return the refusal of a request that crashed endpoints, and log it.

    Parameters
    ----------
    exchange : ProxyExchange
    key : str
        Of the request or the part of its prompt, see `suspect_keys`.
    crash_ids : list of str
    left_ms : int
    message : str

    Returns
    -------
    Refusal
    """
    COUNTERS.increment("gateway_quarantine_refusals")
    logger.info(
        "quarantined request refused",
        extra={
            "request": exchange.content.request_id.decode("latin-1"),
            "key": key,
            "crashes": crash_ids,
            "may_have_run": exchange.may_have_run,
        },
    )
    return Refusal.of(ErrorKind.QUARANTINED, message, retry_after_ms=left_ms)
