"""Estimate which cached weights a load from the store would drop from a host's disk.

The decisions answer loads under which hosts leave: a model whose last cached copy is dropped is not
served again until the store delivers it, which takes as long as the load that dropped it.
"""


def expected_sole_copies_dropped(engine, spec_by_name, on_disk, arriving, is_sole_copy):
    """Return the expected number of last copies that a host drops to cache another model.

    A host drops the least recently used copies first. Which these are is not reported, so that each
    copy is taken to be as likely as any other.

    Parameters
    ----------
    engine : EngineSpec
    spec_by_name : dict of str to ModelSpec
    on_disk : collection of str
        Models whose weights are on the host's disk.
    arriving : ModelSpec
        Model that the host is going to cache.
    is_sole_copy : callable
        Takes a model's name, and returns whether no other host has its weights.

    Returns
    -------
    float
    """
    known = [spec_by_name[name] for name in on_disk if name in spec_by_name]
    used_mb = sum(spec.weights_mb for spec in known)
    excess_mb = used_mb + arriving.weights_mb - engine.disk_cache_mb
    if excess_mb <= 0.0 or not used_mb:
        return 0.0
    sole_mb = sum(spec.weights_mb for spec in known if is_sole_copy(spec.name))
    mean_mb = used_mb / len(known)
    return min(1.0, excess_mb / used_mb) * sole_mb / mean_mb
