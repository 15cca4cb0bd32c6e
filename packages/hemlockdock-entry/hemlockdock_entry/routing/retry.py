"""Decide whether a failed attempt is retried."""

from enum import Enum

from hemlockdock_core.errors import ErrorKind, NotRun

ATTEMPT_LIMIT = 8
MAX_ENDPOINTS_LOST = 2
OVERLOAD_KINDS = (ErrorKind.ENGINE_REFUSED, ErrorKind.QUEUE_FULL, ErrorKind.NO_CAPACITY)
DRAINING_KINDS = (ErrorKind.DRAINING, ErrorKind.NO_CONTROL)
ADMISSION_REFUSAL_KINDS = (*OVERLOAD_KINDS, *DRAINING_KINDS, ErrorKind.STALE_REVISION)
FAILURE_KINDS = (
    ErrorKind.ENDPOINT_LOST,
    ErrorKind.ENGINE_FAILED,
    ErrorKind.STREAM_STALLED,
    ErrorKind.UNKNOWN_STREAM,
)


class RetryDecision(Enum):
    """What happens after a failed attempt."""

    REFUSE = "refuse"
    QUEUE_AGAIN = "queue_again"
    QUEUE_LATER = "queue_later"


def decide_retry(request, refusal, attempt_count, endpoints_lost, answer_started, budget, now):
    """Decide whether a request is retried after a failed attempt.

    Parameters
    ----------
    request : Request
    refusal : Refusal
        How the attempt ended.
    attempt_count : int
        Attempts so far, including the failed one.
    endpoints_lost : int
        Endpoints that were lost while running the request.
    answer_started : bool
        Whether the caller has received any bytes of the answer.
    budget : RetryBudget
    now : float

    Returns
    -------
    RetryDecision
    """
    if answer_started or attempt_count >= ATTEMPT_LIMIT or now >= request.deadline_at:
        return RetryDecision.REFUSE
    if endpoints_lost >= MAX_ENDPOINTS_LOST:
        return RetryDecision.REFUSE
    not_run = refusal.not_run is NotRun.TRUE
    if not not_run and not request.repeatable:
        return RetryDecision.REFUSE
    if refusal.kind not in ADMISSION_REFUSAL_KINDS and refusal.kind not in FAILURE_KINDS:
        return RetryDecision.REFUSE
    if budget.take():
        return RetryDecision.QUEUE_AGAIN
    # An attempt that did not run cost no engine time, so an empty budget only delays its retry.
    return RetryDecision.QUEUE_LATER if not_run else RetryDecision.REFUSE
