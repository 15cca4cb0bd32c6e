"""Counters of invariant violations, over any number of stand-in engines."""

from collections import Counter


class StandInLedger:
    """Count loads, executions and violations of invariants, as the engines see them.

    Attributes
    ----------
    loaded_by_model : collections.Counter
        Replicas that hold memory, including those that are loading.
    most_loaded_by_model : dict of str to int
        Maximum of ``loaded_by_model`` so far.
    runs_by_key : collections.Counter
        Executions by idempotency key, or by request id if there is no key.
    memory_violations : int
        Orders that would have exceeded the memory of the engine.
    fence_violations : int
        Orders with a lower fence than an earlier order.
    overlap_violations : int
        Orders that started while another one was in progress, at engines that ignore fences.
    """

    def __init__(self):
        self.loaded_by_model = Counter()
        self.most_loaded_by_model = {}
        self.runs_by_key = Counter()
        self.memory_violations = 0
        self.fence_violations = 0
        self.overlap_violations = 0

    def load(self, model):
        """Record that a replica of a model takes memory.

        Parameters
        ----------
        model : str
        """
        self.loaded_by_model[model] += 1
        most = max(self.most_loaded_by_model.get(model, 0), self.loaded_by_model[model])
        self.most_loaded_by_model[model] = most

    def unload(self, model):
        """Record that a replica of a model has freed its memory.

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
