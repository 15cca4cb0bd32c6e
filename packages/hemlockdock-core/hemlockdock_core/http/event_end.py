"""Recognize streams of server-sent events and find the ends of events."""

import re

EVENT_STREAM = "text/event-stream"
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
LINE_END_BYTES = b"\r\n"
# The end of an event may be split over two parts of a stream.
MAX_SPLIT_BYTES = len(EVENT_ENDS[-1]) - 1
EVENT_END = re.compile(b"|".join(re.escape(event_end) for event_end in EVENT_ENDS))


def is_event_stream(content_type):
    """Return whether a content type is that of a stream of server-sent events.

    Parameters
    ----------
    content_type : str

    Returns
    -------
    bool
    """
    return content_type.lower().startswith(EVENT_STREAM)


def end_of_next_event(data, start):
    """Return the position after the first event that ends after a position; 0 if none does.

    Parameters
    ----------
    data : bytes
    start : int

    Returns
    -------
    int
    """
    match = EVENT_END.search(data, start)
    return 0 if match is None else match.end()


def end_of_last_event(data):
    """Return the position after the last event that ends in some data; 0 if none does.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    int
    """
    end = 0
    for event_end in EVENT_ENDS:
        position = data.rfind(event_end)
        if position >= 0:
            end = max(end, position + len(event_end))
    return end


def is_inside_event(rest):
    """Return whether the bytes after the end of an event begin another one.

    Parameters
    ----------
    rest : bytes

    Returns
    -------
    bool
        False for blank lines.
    """
    return bool(rest.strip(LINE_END_BYTES))


class EventEndTracker:
    """Track whether a stream stands inside an event, without a copy of the stream.

    Attributes
    ----------
    inside_event : bool
    """

    def __init__(self):
        self.inside_event = False
        self._tail = b""

    def feed(self, data):
        """Add the next bytes of the stream.

        Parameters
        ----------
        data : bytes
        """
        data = self._tail + data
        end = end_of_last_event(data)
        rest = data[end:]
        self.inside_event = is_inside_event(rest) or (self.inside_event and not end)
        self._tail = rest[-MAX_SPLIT_BYTES:]
