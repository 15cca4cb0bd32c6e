"""Per-model request counts of one node."""

from hemlockdock_core.messages.wish import ModelTraffic


class LoadCounts:
    """Per-model counts of arrivals and of requests in flight, with their changes."""

    def __init__(self):
        self._arrivals_by_model = {}
        self._in_flight_by_model = {}
        self._reported_by_model = {}

    def count_arrival(self, model):
        """Count an arriving request.

        Parameters
        ----------
        model : str
        """
        self._arrivals_by_model[model] = self._arrivals_by_model.get(model, 0) + 1

    def count_start(self, model):
        """Count a request as in flight.

        Parameters
        ----------
        model : str
        """
        self._in_flight_by_model[model] = self._in_flight_by_model.get(model, 0) + 1

    def count_end(self, model):
        """Count a request as finished.

        Parameters
        ----------
        model : str
        """
        self._in_flight_by_model[model] -= 1

    def in_flight(self, model):
        """Return the number of a model's requests in flight from this node.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        return self._in_flight_by_model.get(model, 0)

    def changed_loads(self, waiting_by_model):
        """Return the loads of the models whose counts changed since the last call.

        Parameters
        ----------
        waiting_by_model : dict of str to int

        Returns
        -------
        list of ModelTraffic
        """
        changed = []
        for model, arrivals in self._arrivals_by_model.items():
            waiting = waiting_by_model.get(model, 0)
            load = ModelTraffic(model, arrivals, waiting, self.in_flight(model))
            if self._reported_by_model.get(model) == load:
                continue
            self._reported_by_model[model] = load
            changed.append(load)
        return changed
