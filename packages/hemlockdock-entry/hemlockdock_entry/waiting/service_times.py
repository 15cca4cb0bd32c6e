"""Estimate the service times of models and services from measured runs."""

from dataclasses import dataclass

SMOOTHING_FACTOR = 0.1
DEVIATION_FACTOR = 2.5


@dataclass(slots=True)
class ServiceTime:
    """Exponentially smoothed service time of one model.

    Attributes
    ----------
    mean_s : float
    deviation_s : float
        Smoothed absolute deviation from the mean.
    """

    mean_s: float
    deviation_s: float


class ServiceTimes:
    """Exponentially smoothed service times by model."""

    def __init__(self):
        self._time_by_model = {}

    def record(self, model, seconds):
        """Record the time from dispatch to the end of a run.

        Parameters
        ----------
        model : str
        seconds : float
        """
        service_time = self._time_by_model.get(model)
        if service_time is None:
            self._time_by_model[model] = ServiceTime(seconds, seconds / 2)
            return
        deviation = seconds - service_time.mean_s
        service_time.mean_s += SMOOTHING_FACTOR * deviation
        service_time.deviation_s += SMOOTHING_FACTOR * (abs(deviation) - service_time.deviation_s)

    def record_lower_bound(self, model, seconds):
        """Record a run that was aborted, if it already took longer than the mean.

        Parameters
        ----------
        model : str
        seconds : float
            Time until it was aborted.
        """
        if seconds > self.expected_s(model):
            # Slow runs are aborted most often; without them the estimate would be too low.
            self.record(model, seconds)

    def expected_s(self, model):
        """Return the mean service time in seconds, 0.0 if none was measured.

        Parameters
        ----------
        model : str

        Returns
        -------
        float
        """
        service_time = self._time_by_model.get(model)
        return service_time.mean_s if service_time else 0.0

    def conservative_s(self, model):
        """Return a service time in seconds that few runs exceed, 0.0 if none was measured.

        Parameters
        ----------
        model : str

        Returns
        -------
        float
        """
        service_time = self._time_by_model.get(model)
        return (
            service_time.mean_s + DEVIATION_FACTOR * service_time.deviation_s
            if service_time
            else 0.0
        )
