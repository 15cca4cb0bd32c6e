"""How far the endpoint of one attempt has come with its stream."""

# An endpoint that crashes on a part of a prompt does so as it begins to write the answer.
CARRIED_ON_S = 0.5


class AttemptProgress:
    """The events of a stream that one attempt has brought.

    Parameters
    ----------
    events_before : int, optional
        Events that earlier attempts of the request brought.

    Attributes
    ----------
    has_carried_on : bool
        Whether the endpoint has been writing events for a while.
    """

    def __init__(self, events_before=0):
        self._events_before = events_before
        self._event_count = events_before
        self._first_event_s = None
        self.has_carried_on = False

    @property
    def has_events(self):
        """Return whether the attempt has brought an event."""
        return self._event_count > self._events_before

    @property
    def is_continuation(self):
        """Return whether earlier attempts of the request brought events."""
        return self._events_before > 0

    def note_events(self, event_count, now_s):
        """Note the number of events of the stream so far.

        Parameters
        ----------
        event_count : int
        now_s : float

        Returns
        -------
        bool
            Whether the endpoint has been writing for a while, for the first time.
        """
        self._event_count = event_count
        if self.has_carried_on or not self.has_events:
            return False
        if self._first_event_s is None:
            self._first_event_s = now_s
        self.has_carried_on = now_s - self._first_event_s >= CARRIED_ON_S
        return self.has_carried_on
