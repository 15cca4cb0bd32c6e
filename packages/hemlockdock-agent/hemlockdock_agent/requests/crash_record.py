"""Hold a crash report until control knows it."""

MOST_REPEATS = 40


class CrashRecord:
    """Hold a crash report until control knows it.

    Parameters
    ----------
    report : CrashReport
    now_ms : float

    Attributes
    ----------
    repeat_ms : float
        When the report goes out next.
    """

    def __init__(self, report, now_ms):
        self.report = report
        self.repeat_ms = now_ms
        self._repeats = 0
        self._crashes_before = None

    def sent(self, repeat_ms):
        """Note that the report was sent.

        Parameters
        ----------
        repeat_ms : float
        """
        self._repeats += 1
        self.repeat_ms = repeat_ms

    def shown(self, table):
        """Tell whether the table shows the crash, or it was repeated often enough.

        Parameters
        ----------
        table : RoutingTable

        Returns
        -------
        bool
        """
        if not self.report.fingerprints or self._repeats >= MOST_REPEATS:
            return True
        crashes = [_crashes(table, name) for name in self.report.fingerprints]
        if self._crashes_before is None:
            self._crashes_before = crashes
        return all(now > before for now, before in zip(crashes, self._crashes_before, strict=True))


def _crashes(table, fingerprint):
    row = table.quarantine_by_fingerprint.get(fingerprint)
    return row.crashes if row is not None else 0
