"""Measure how long a model's requests take."""

from dataclasses import dataclass

SMOOTHING_FACTOR = 0.1
DEVIATION_FACTOR = 2.5


@dataclass(slots=True)
class ServiceTime:
    """Hold one model's smoothed service time.

    Attributes
    ----------
    mean_s : float
    deviation_s : float
        Smoothed distance from the mean.
    """

    mean_s: float
    deviation_s: float


class ServiceTimes:
    """Keep a smoothed service time for each model."""

    def __init__(self):
        self._time_by_model = {}

    def record(self, model, seconds):
        """Take the time from dispatch to the end of a run.

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
        """Take a run that was given up before its end.

        Parameters
        ----------
        model : str
        seconds : float
            How long it ran.
        """
        if seconds > self.expected_s(model):
            # Without these the slow runs, which are given up most, would never count.
            self.record(model, seconds)

    def expected_s(self, model):
        """Return the mean service time in seconds, 0.0 where none was measured.

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
        """Return a service time that few runs exceed, in seconds.

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
