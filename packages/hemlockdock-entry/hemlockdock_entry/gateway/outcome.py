"""Decide what follows when a try at an endpoint has ended."""

from dataclasses import dataclass
from enum import Enum


class TryOutcome(Enum):
    """Say how a try at an endpoint ended.

    Attributes
    ----------
    NOT_SENT
        Nothing of it reached the endpoint.
    NOT_RUN
        The endpoint said that it didn't run it.
    UNKNOWN
        It may have run; no usable answer came.
    FAILED
        The endpoint answered with a failure of its own.
    BROKEN_OFF
        The answer began and wasn't ended.
    """

    NOT_SENT = "not_sent"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    BROKEN_OFF = "broken_off"


class NextMove(Enum):
    """Say what becomes of the request."""

    TRY_AGAIN = "try_again"
    REFUSE_NOT_RUN = "refuse_not_run"
    REPORT_UNKNOWN = "report_unknown"
    DELIVER_FAILURE = "deliver_failure"
    BREAK_OFF = "break_off"


@dataclass(frozen=True, slots=True)
class RequestState:
    """Hold what decides about a further try.

    Attributes
    ----------
    may_repeat : bool
        Whether the request may run more than once.
    may_have_run : bool
        Whether any try so far may have run.
    response_started : bool
        Whether the client got a part of an answer.
    endpoints_tried : int
        Endpoints that it reached.
    most_endpoints : int
    may_connect : bool
        Whether another connection may be tried after one that could not be had.
    left_s : float
    """

    may_repeat: bool
    may_have_run: bool
    response_started: bool
    endpoints_tried: int
    most_endpoints: int
    may_connect: bool
    left_s: float


# A further try with less time left would not be answered.
MIN_TIME_LEFT_S = 0.05


def next_move(outcome, state, spend_retry):
    """Decide what becomes of a request whose try has ended.

    Parameters
    ----------
    outcome : TryOutcome
    state : RequestState
        With this try counted in.
    spend_retry : callable
        Takes nothing; spends one further send and tells whether there was one.

    Returns
    -------
    NextMove
    """
    may_resend = state.may_repeat or not state.may_have_run
    has_endpoints = state.endpoints_tried < max(1, state.most_endpoints)
    has_time = state.left_s > MIN_TIME_LEFT_S
    if outcome is TryOutcome.NOT_SENT:
        if may_resend and has_time and state.may_connect:
            return NextMove.TRY_AGAIN
    elif may_resend and has_time and has_endpoints and spend_retry():
        return NextMove.TRY_AGAIN
    if state.response_started:
        return NextMove.BREAK_OFF
    if outcome is TryOutcome.FAILED:
        return NextMove.DELIVER_FAILURE
    return NextMove.REPORT_UNKNOWN if state.may_have_run else NextMove.REFUSE_NOT_RUN
