"""Decide what follows a failed try."""

from enum import Enum

from hemlockdock_core.errors import ErrorKind, NotRun

MAX_TRIES = 8
MAX_ENDPOINTS_LOST = 2
FULL_KINDS = (ErrorKind.ENGINE_REFUSED, ErrorKind.QUEUE_FULL, ErrorKind.NO_CAPACITY)
LEAVING_KINDS = (ErrorKind.DRAINING, ErrorKind.NO_CONTROL)
GATE_KINDS = (*FULL_KINDS, *LEAVING_KINDS, ErrorKind.STALE_REVISION)
FAULT_KINDS = (
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


def next_step(request, refusal, tries, endpoints_lost, passed_bytes, budget, now):
    """Decide what follows a failed try.

    Parameters
    ----------
    request : Request
    refusal : Refusal
        How the try ended.
    tries : int
        Tries so far, this one included.
    endpoints_lost : int
        Endpoints that were lost while they ran the request.
    passed_bytes : bool
        Whether the caller has bytes of the answer.
    budget : RetryBudget
    now : float

    Returns
    -------
    NextStep
    """
    if passed_bytes or tries >= MAX_TRIES or now >= request.deadline_at:
        return NextStep.REFUSE
    if endpoints_lost >= MAX_ENDPOINTS_LOST:
        return NextStep.REFUSE
    not_run = refusal.not_run is NotRun.TRUE
    if not not_run and not request.repeatable:
        return NextStep.REFUSE
    if refusal.kind not in GATE_KINDS and refusal.kind not in FAULT_KINDS:
        return NextStep.REFUSE
    if budget.take():
        return NextStep.QUEUE_AGAIN
    # A refusal at the agent's gate costs no engine time: without budget it only waits longer.
    return NextStep.QUEUE_LATER if not_run else NextStep.REFUSE
