"""Track whether a member's digests reach the leader."""

MS_PER_S = 1_000
MAX_UNACKNOWLEDGED = 256


class LeaderContact:
    """Decide whether heartbeats received by this member reach the leader in time.

    An agent whose heartbeats are acknowledged as fresh keeps its models loaded. Receiving from
    the leader is not enough: if only the link towards the leader fails, the leader declares the
    agent lost while the agent keeps running. Digests therefore have to be acknowledged.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    replicator : Replicator
    clock_ms : callable
        Returns a monotonic time that also advances while the process is stopped.
    """

    def __init__(self, settings, replicator, clock_ms):
        self._limit_ms = 2 * settings.control.election_ms
        self._replicator = replicator
        self._clock_ms = clock_ms
        self._sequence = 0
        self._sent_ms_by_sequence = {}
        self._acknowledged_ms = None

    def next_sequence(self):
        """Return the sequence number of a digest that is sent now.

        Returns
        -------
        int
        """
        self._sequence += 1
        self._sent_ms_by_sequence[self._sequence] = self._clock_ms()
        if len(self._sent_ms_by_sequence) > MAX_UNACKNOWLEDGED:
            del self._sent_ms_by_sequence[next(iter(self._sent_ms_by_sequence))]
        return self._sequence

    def record_ack(self, sequence):
        """Record that the leader acknowledged a digest.

        Parameters
        ----------
        sequence : int
        """
        sent_ms = self._sent_ms_by_sequence.pop(sequence, None)
        if sent_ms is None:
            return
        # Counts from the time of sending, because the acknowledgement may have been delayed.
        self._acknowledged_ms = max(self._acknowledged_ms or sent_ms, sent_ms)

    @property
    def fresh(self):
        """Tell whether heartbeats received here reach a leader in time."""
        if self._replicator.last_leader_contact_s * MS_PER_S > self._limit_ms:
            return False
        if self._replicator.is_leader:
            return True
        if self._acknowledged_ms is None:
            return False
        return self._clock_ms() - self._acknowledged_ms <= self._limit_ms
