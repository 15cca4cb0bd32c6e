"""Track whether control has received a crash report."""

MAX_REPEATS = 40


class CrashRecord:
    """Track a crash report until control has recorded it.

    Parameters
    ----------
    report : CrashReport
    now_ms : float

    Attributes
    ----------
    repeat_ms : float
        When to send the report next.
    """

    def __init__(self, report, now_ms):
        self.report = report
        self.repeat_ms = now_ms
        self._repeats = 0
        self._initial_counts = None

    def mark_sent(self, repeat_ms):
        """Record that the report was sent.

        Parameters
        ----------
        repeat_ms : float
        """
        self._repeats += 1
        self.repeat_ms = repeat_ms

    def is_acknowledged(self, table):
        """Return whether the table shows the crash, or ``MAX_REPEATS`` is reached.

        Parameters
        ----------
        table : RoutingTable

        Returns
        -------
        bool
        """
        if not self.report.fingerprints or self._repeats >= MAX_REPEATS:
            return True
        counts = [_crash_count(table, name) for name in self.report.fingerprints]
        if self._initial_counts is None:
            self._initial_counts = counts
        return all(now > before for now, before in zip(counts, self._initial_counts, strict=True))


def _crash_count(table, fingerprint):
    row = table.quarantine_by_fingerprint.get(fingerprint)
    return row.crashes if row is not None else 0
