"""Loads of models that a node reports with its heartbeats."""


class LoadReports:
    """The loads that control has not acknowledged; each is repeated until it is, or has changed."""

    def __init__(self):
        self._load_by_model = {}
        self._sent_by_sequence = {}

    def add(self, load):
        """Report a model's load with the next heartbeat.

        Parameters
        ----------
        load : ModelTraffic
        """
        self._load_by_model[load.model] = load

    def send(self, sequence):
        """Return the loads to send with a heartbeat.

        Parameters
        ----------
        sequence : int

        Returns
        -------
        list of ModelTraffic
        """
        loads = list(self._load_by_model.values())
        self._sent_by_sequence[sequence] = loads
        return loads

    def acknowledge(self, sequence):
        """Forget the loads that control has acknowledged and that have not changed since.

        Parameters
        ----------
        sequence : int
        """
        for load in self._sent_by_sequence.pop(sequence, ()):
            if self._load_by_model.get(load.model) == load:
                del self._load_by_model[load.model]
        for older in [key for key in self._sent_by_sequence if key < sequence]:
            del self._sent_by_sequence[older]
