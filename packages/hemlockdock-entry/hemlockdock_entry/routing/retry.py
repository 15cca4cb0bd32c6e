"""Decide what follows a failed try."""

from enum import Enum

from hemlockdock_core.errors import ErrorKind, NotRun

MAX_ATTEMPTS = 8
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


class NextStep(Enum):
    """Name what follows a failed try."""

    REFUSE = "refuse"
    QUEUE_AGAIN = "queue_again"
    QUEUE_LATER = "queue_later"


def next_step(request, refusal, attempts, endpoints_lost, answer_started, budget, now):
    """Decide what follows a failed try.

    Parameters
    ----------
    request : Request
    refusal : Refusal
        How the try ended.
    attempts : int
        Tries so far, this one included.
    endpoints_lost : int
        Endpoints that were lost while they ran the request.
    answer_started : bool
        Whether the caller has bytes of the answer.
    budget : RetryBudget
    now : float

    Returns
    -------
    NextStep
    """
    if answer_started or attempts >= MAX_ATTEMPTS or now >= request.deadline_at:
        return NextStep.REFUSE
    if endpoints_lost >= MAX_ENDPOINTS_LOST:
        return NextStep.REFUSE
    not_run = refusal.not_run is NotRun.TRUE
    if not not_run and not request.repeatable:
        return NextStep.REFUSE
    if refusal.kind not in ADMISSION_REFUSAL_KINDS and refusal.kind not in FAILURE_KINDS:
        return NextStep.REFUSE
    if budget.take():
        return NextStep.QUEUE_AGAIN
    # A refusal at the agent's gate costs no engine time: without budget it only waits longer.
    return NextStep.QUEUE_LATER if not_run else NextStep.REFUSE
