"""Decide what a response is worth, by its head and by how its stream ended."""

from dataclasses import dataclass

from hemlockdock_core.http import Framing
from hemlockdock_core.http.event_end import is_event_stream
from hemlockdock_core.rows import RouteKind
from hemlockdock_entry.gateway.outcome import TryOutcome

CONTENT_ENCODING = b"content-encoding"
CONTENT_TYPE = b"content-type"
MISDIRECTED_REQUEST = 421
RETRY_AFTER = b"retry-after"
FIRST_FAILURE_STATUS = 300


@dataclass(frozen=True, slots=True)
class HeadVerdict:
    """What the head of a response tells.

    Attributes
    ----------
    outcome : TryOutcome or None
        None if the response is usable so far.
    is_stream : bool
        Whether its body is passed on by events as it arrives.
    """

    outcome: TryOutcome | None
    is_stream: bool = False


def check_head(head, names, route, has_client_events):
    """Classify a response by its head.

    Parameters
    ----------
    head : ResponseHead
    names : HeaderNames
    route : RouteRow
    has_client_events : bool
        Whether the client has events of the stream already, which only a stream can continue.

    Returns
    -------
    HeadVerdict
    """
    if head.value(names.not_run) or head.status == MISDIRECTED_REQUEST:
        return HeadVerdict(TryOutcome.NOT_RUN)
    if head.status >= FIRST_FAILURE_STATUS:
        return HeadVerdict(TryOutcome.FAILED)
    if not head.value(names.signature) or head.value(CONTENT_ENCODING):
        return HeadVerdict(TryOutcome.UNKNOWN)
    is_stream = route.kind is RouteKind.STREAM and _may_be_stream(head)
    if has_client_events and not is_stream:
        return HeadVerdict(TryOutcome.UNKNOWN)
    return HeadVerdict(None, is_stream)


def stream_problem(framing, inside_event, has_events, is_continuation):
    """Return why the end of a stream is not the end of its response.

    Parameters
    ----------
    framing : Framing
    inside_event : bool
        Whether the stream's last event is incomplete.
    has_events : bool
        Whether the response brought a complete event.
    is_continuation : bool
        Whether the client has events of the stream from an earlier response.

    Returns
    -------
    str
        Empty if the stream is complete.
    """
    if inside_event:
        return "the stream ended inside an event"
    if framing is Framing.CONNECTION_END and not has_events:
        return "the connection closed before the first event"
    if is_continuation and not has_events:
        return "the continuation brought no event"
    return ""


def _may_be_stream(head):
    content_type = head.value(CONTENT_TYPE).decode("latin-1")
    return not content_type or is_event_stream(content_type)
