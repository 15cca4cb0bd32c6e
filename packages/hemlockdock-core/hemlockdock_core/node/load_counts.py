"""Count each model's traffic at one node."""

from hemlockdock_core.messages.wish import ModelLoad


class LoadCounts:
    """Count each model's arrivals and requests in flight, and tell what changed."""

    def __init__(self):
        self._arrivals_by_model = {}
        self._in_flight_by_model = {}
        self._reported_by_model = {}

    def arrived(self, model):
        """Count an arrival.

        Parameters
        ----------
        model : str
        """
        self._arrivals_by_model[model] = self._arrivals_by_model.get(model, 0) + 1

    def started(self, model):
        """Count a request into flight.

        Parameters
        ----------
        model : str
        """
        self._in_flight_by_model[model] = self._in_flight_by_model.get(model, 0) + 1

    def ended(self, model):
        """Count a request out of flight.

        Parameters
        ----------
        model : str
        """
        self._in_flight_by_model[model] -= 1

    def in_flight(self, model):
        """Return how many of a model's requests are in flight from here.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        return self._in_flight_by_model.get(model, 0)

    def changed(self, waiting_by_model):
        """Return the loads of the models whose figures changed since the last call.

        Parameters
        ----------
        waiting_by_model : dict of str to int

        Returns
        -------
        list of ModelLoad
        """
        changed = []
        for model, arrivals in self._arrivals_by_model.items():
            waiting = waiting_by_model.get(model, 0)
            load = ModelLoad(model, arrivals, waiting, self.in_flight(model))
            if self._reported_by_model.get(model) == load:
                continue
            self._reported_by_model[model] = load
            changed.append(load)
        return changed
