"""Estimate which cached weights a load from the store would drop from a host's disk.

The decisions answer loads under which hosts leave: a model whose last cached copy is dropped is not
served again until the store delivers it, which takes as long as the load that dropped it.
"""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DiskUse:
    """What the disk of one host caches.

    Attributes
    ----------
    used_mb : float
    copies : int
        Number of models.
    sole_copies : int
        Number of those that no other host has.
    """

    used_mb: float
    copies: int
    sole_copies: int

    @classmethod
    def of(cls, on_disk, spec_by_name, holders_by_name):
        """Sum up what a disk caches; models that the manifest no longer lists are left out.

        Parameters
        ----------
        on_disk : collection of str
        spec_by_name : dict of str to ModelSpec
        holders_by_name : Counter
            Number of hosts that have a model's weights.

        Returns
        -------
        DiskUse
        """
        known = [spec_by_name[name] for name in on_disk if name in spec_by_name]
        sole_copies = sum(1 for spec in known if holders_by_name[spec.name] == 1)
        return cls(sum(spec.weights_mb for spec in known), len(known), sole_copies)

    def sole_copies_dropped(self, capacity_mb, arriving_mb):
        """Return the expected number of last copies that are dropped to cache another model.

        A host drops the least recently used copies first. Which these are is not reported, so that
        each copy is taken to be as likely as any other.

        Parameters
        ----------
        capacity_mb : float
            Disk space for cached weights; 0 if it is not known.
        arriving_mb : float

        Returns
        -------
        float
        """
        excess_mb = self.used_mb + arriving_mb - capacity_mb
        if not capacity_mb or excess_mb <= 0.0 or not self.used_mb:
            return 0.0
        dropped = math.ceil(excess_mb * self.copies / self.used_mb)
        return min(dropped, self.copies) * self.sole_copies / self.copies


class DiskUses:
    """What the hosts of a pool's engines cache, in one placement round.

    Parameters
    ----------
    engine : EngineSpec
    spec_by_name : dict of str to ModelSpec
    holders_by_name : Counter
        Number of hosts that have a model's weights.
    """

    def __init__(self, engine, spec_by_name, holders_by_name):
        self._capacity_mb = engine.disk_cache_mb
        self._spec_by_name = spec_by_name
        self._holders_by_name = holders_by_name
        self._use_by_endpoint = {}

    def sole_copies_dropped(self, view, arriving):
        """Return the expected number of last copies that an engine's host drops for a model.

        Parameters
        ----------
        view : EngineView
        arriving : ModelSpec

        Returns
        -------
        float
        """
        use = self._use_by_endpoint.get(view.endpoint_id)
        if use is None:
            use = DiskUse.of(view.report.on_host_disk, self._spec_by_name, self._holders_by_name)
            self._use_by_endpoint[view.endpoint_id] = use
        return use.sole_copies_dropped(self._capacity_mb, arriving.weights_mb)
