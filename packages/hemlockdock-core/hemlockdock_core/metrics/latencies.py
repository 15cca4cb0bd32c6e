"""Latencies in high dynamic range (HDR) histograms."""

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
MICROSECONDS_PER_SECOND = 1_000_000


class Latencies:
    """Latency histograms in microseconds, one for each name and request class.

    Attributes
    ----------
    histogram_by_key : dict of (str, str) to hdrh.histogram.HdrHistogram
    """

    def __init__(self):
        self.histogram_by_key = {}

    def record(self, name, request_class, seconds):
        """Record a duration.

        Parameters
        ----------
        name : str
        request_class : str
        seconds : float
        """
        key = (name, request_class)
        histogram = self.histogram_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histogram_by_key[key] = histogram
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        histogram.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))

    def quantile_s(self, name, request_class, percent):
        """Return a percentile in seconds, or 0.0 if nothing was recorded.

        Parameters
        ----------
        name : str
        request_class : str
        percent : float
            From 0 to 100.

        Returns
        -------
        float
        """
        histogram = self.histogram_by_key.get((name, request_class))
        if histogram is None:
            return 0.0
        return histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_SECOND


LATENCIES = Latencies()
