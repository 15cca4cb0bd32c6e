"""Choose the models that an engine unloads to make room for another one."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class EvictionCandidate:
    """A loaded model that may be unloaded; candidates sort in the order of eviction.

    Attributes
    ----------
    is_busy : bool
        Whether it has requests in flight.
    rate_per_s : float
        Request rate.
    name : str
    memory_mb : float
        Memory that unloading it frees.
    """

    is_busy: bool
    rate_per_s: float
    name: str
    memory_mb: float


class EngineMemory:
    """The memory of a pool's engines for weights and adapters.

    Parameters
    ----------
    engine : EngineSpec
    spec_by_name : dict of str to ModelSpec
    """

    def __init__(self, engine, spec_by_name):
        self._engine = engine
        self._spec_by_name = spec_by_name

    def required_mb(self, name):
        """Return the memory that a model may take, with as many adapters as there are slots.

        Parameters
        ----------
        name : str

        Returns
        -------
        float
            All memory for a model that the manifest no longer lists: its size is unknown.
        """
        spec = self._spec_by_name.get(name)
        if spec is None:
            return self._engine.weights_mb
        return spec.weights_mb + spec.adapter_mb * min(spec.adapters, self._engine.adapter_slots)

    def free_mb(self, resident):
        """Return the memory that loaded models leave.

        Parameters
        ----------
        resident : iterable of str

        Returns
        -------
        float
        """
        return self._engine.weights_mb - sum(self.required_mb(name) for name in resident)


def choose_evictions(candidates, free_mb, needed_mb):
    """Choose the models to unload so that a model fits.

    Parameters
    ----------
    candidates : iterable of EvictionCandidate
    free_mb, needed_mb : float

    Returns
    -------
    tuple of str, or None
        None if the model does not fit even if all candidates are unloaded.
    """
    chosen = []
    for candidate in sorted(candidates):
        if free_mb >= needed_mb:
            break
        chosen.append(candidate)
        free_mb += candidate.memory_mb
    if free_mb < needed_mb:
        return None
    # A small model chosen early may be unnecessary once a larger one is chosen.
    for candidate in list(chosen):
        if free_mb - candidate.memory_mb >= needed_mb:
            chosen.remove(candidate)
            free_mb -= candidate.memory_mb
    return tuple(candidate.name for candidate in chosen)
