"""Keep account of what must never happen, over any number of stand-in engines."""

from collections import Counter


class StandInLedger:
    """Count violations of the promises as the engines see them.

    Attributes
    ----------
    loaded_by_model : collections.Counter
        Replicas that hold memory now, loads in progress among them.
    most_loaded_by_model : dict of str to int
    runs_by_key : collections.Counter
        Executions by the idempotency key, or else by the request id.
    memory_violations : int
        Orders that would have committed more memory than there is.
    fence_violations : int
        Orders with a lower fence than one seen before.
    overlap_violations : int
        Orders that began while another one was in progress, at engines that ignore fences.
    """

    def __init__(self):
        self.loaded_by_model = Counter()
        self.most_loaded_by_model = {}
        self.runs_by_key = Counter()
        self.memory_violations = 0
        self.fence_violations = 0
        self.overlap_violations = 0

    def load(self, model):
        """Record that a model takes memory.

        Parameters
        ----------
        model : str
        """
        self.loaded_by_model[model] += 1
        most = max(self.most_loaded_by_model.get(model, 0), self.loaded_by_model[model])
        self.most_loaded_by_model[model] = most

    def unload(self, model):
        """Record that a model's memory is free.

        Parameters
        ----------
        model : str
        """
        self.loaded_by_model[model] -= 1

    def run(self, key):
        """Record that a request is executed.

        Parameters
        ----------
        key : str
        """
        self.runs_by_key[key] += 1

    def most_runs(self):
        """Return the largest number of executions of one key."""
        return max(self.runs_by_key.values(), default=0)
