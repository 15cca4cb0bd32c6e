"""Retry decisions: what to do with a request after an attempt at an endpoint has ended."""

from dataclasses import dataclass
from enum import Enum


class TryOutcome(Enum):
    """Outcome of an attempt that produced no usable response.

    Attributes
    ----------
    NOT_SENT
        The request was not sent to the endpoint.
    WITHHELD
        The request was not sent, because the endpoint asked for fewer requests in the meantime.
    NOT_RUN
        The endpoint reported that it did not run the request.
    UNKNOWN
        The request may have run; no usable response was received.
    FAILED
        The endpoint returned an error response.
    BROKEN_OFF
        The response started but did not complete.
    """

    NOT_SENT = "not_sent"
    WITHHELD = "withheld"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    BROKEN_OFF = "broken_off"


class NextMove(Enum):
    """Next action for a request after an attempt."""

    TRY_AGAIN = "try_again"
    REFUSE_NOT_RUN = "refuse_not_run"
    REPORT_UNKNOWN = "report_unknown"
    DELIVER_FAILURE = "deliver_failure"
    BREAK_OFF = "break_off"


@dataclass(frozen=True, slots=True)
class RequestState:
    """State of a request that determines whether it is retried.

    Attributes
    ----------
    may_repeat : bool
        Whether the request may run more than once.
    may_have_run : bool
        Whether any attempt so far may have run.
    response_started : bool
        Whether the client received part of a response.
    endpoints_tried : int
        Number of endpoints that the request was sent to.
    most_endpoints : int
    may_connect : bool
        Whether another connection may be attempted after a failed one.
    left_s : float
    """

    may_repeat: bool
    may_have_run: bool
    response_started: bool
    endpoints_tried: int
    most_endpoints: int
    may_connect: bool
    left_s: float


# A retry with less time left would not complete before the deadline.
MIN_TIME_LEFT_S = 0.05


def next_move(outcome, state, spend_retry):
    """Decide how to continue a request after an attempt without a usable response.

    Parameters
    ----------
    outcome : TryOutcome
    state : RequestState
        Includes the attempt that ended.
    spend_retry : callable
        Spends one retry of the budget without arguments, and returns whether one was available.

    Returns
    -------
    NextMove
    """
    may_resend = state.may_repeat or not state.may_have_run
    has_endpoints = state.endpoints_tried < max(1, state.most_endpoints)
    has_time = state.left_s > MIN_TIME_LEFT_S
    if outcome in (TryOutcome.NOT_SENT, TryOutcome.WITHHELD):
        may_connect = state.may_connect or outcome is TryOutcome.WITHHELD
        if may_resend and has_time and may_connect:
            return NextMove.TRY_AGAIN
    elif may_resend and has_time and has_endpoints and spend_retry():
        return NextMove.TRY_AGAIN
    if state.response_started:
        return NextMove.BREAK_OFF
    if outcome is TryOutcome.FAILED:
        return NextMove.DELIVER_FAILURE
    return NextMove.REPORT_UNKNOWN if state.may_have_run else NextMove.REFUSE_NOT_RUN
