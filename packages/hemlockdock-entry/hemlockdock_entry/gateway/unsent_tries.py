"""Limit how often a request is sent to endpoints that refuse its connections."""

from hemlockdock_entry.gateway.outcome import TryOutcome

# Connection attempts of one request to endpoints that refused it one before. The first one at each
# is not counted: endpoints that end together refuse more connections within a few ms.
MAX_UNSENT_REPEATS = 5


class UnsentTries:
    """The attempts of one request that did not reach their endpoints."""

    def __init__(self):
        self._endpoint_ids = set()
        self._repeats = 0

    def record(self, endpoint_id, outcome):
        """Record an attempt that was not sent.

        Parameters
        ----------
        endpoint_id : str
        outcome : TryOutcome
            An attempt that was withheld is no failed connection.
        """
        if outcome is TryOutcome.NOT_SENT:
            self._repeats += endpoint_id in self._endpoint_ids
            self._endpoint_ids.add(endpoint_id)

    def may_connect(self, has_started, model):
        """Return whether another connection may be attempted after a failed one.

        A stream that has started waits as long as its client does; the model queue limits how
        often it is sent to an endpoint that refuses connections.

        Parameters
        ----------
        has_started : bool
            Whether the client got part of the stream.
        model : str
            Empty if the request names none.

        Returns
        -------
        bool
        """
        return (has_started and bool(model)) or self._repeats < MAX_UNSENT_REPEATS
