"""Decide which queued requests an entry that is shutting down may still start."""

from hemlockdock_core.errors import ErrorKind, Refusal

LIVE_KIND = "live"


class PlannedStop:
    """Time of a planned stop of this entry.

    Parameters
    ----------
    clock : IReactorTime

    Attributes
    ----------
    ends_at : float or None
        Time at which open requests are cut off, in seconds; None while no stop is planned.
    """

    def __init__(self, clock):
        self._clock = clock
        self.ends_at = None

    def begin(self, left_s):
        """Plan the stop.

        Parameters
        ----------
        left_s : float
            Time until open requests are cut off.
        """
        self.ends_at = self._clock.seconds() + left_s

    def refusal(self, request, run_s):
        """Return a refusal if a request that starts now could be cut off, or None.

        Parameters
        ----------
        request : Request
        run_s : float
            Time that few runs exceed; 0.0 if none was measured.

        Returns
        -------
        Refusal or None
        """
        if self.ends_at is None:
            return None
        # The deadline of a live stream applies to its first byte only.
        is_bounded = request.kind != LIVE_KIND or not request.streaming
        if is_bounded and request.deadline_at <= self.ends_at:
            return None
        if run_s and self._clock.seconds() + run_s <= self.ends_at:
            return None
        return Refusal.of(ErrorKind.DRAINING, "it could outlive this entry, which is shutting down")
