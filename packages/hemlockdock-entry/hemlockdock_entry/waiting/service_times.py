"""Measure how long a model's requests take."""

SMOOTHING = 0.1


class ServiceTimes:
    """Keep a smoothed service time for each model.

    Attributes
    ----------
    seconds_by_model : dict of str to float
    """

    def __init__(self):
        self.seconds_by_model = {}

    def record(self, model, seconds):
        """Take the time from dispatch to the end of an answer.

        Parameters
        ----------
        model : str
        seconds : float
        """
        known = self.seconds_by_model.get(model)
        if known is None:
            self.seconds_by_model[model] = seconds
            return
        self.seconds_by_model[model] = known + SMOOTHING * (seconds - known)

    def expected_s(self, model):
        """Return the expected service time in seconds, 0.0 where none was measured.

        Parameters
        ----------
        model : str

        Returns
        -------
        float
        """
        return self.seconds_by_model.get(model, 0.0)
