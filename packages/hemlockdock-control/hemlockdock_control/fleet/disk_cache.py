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
        capacity_mb, arriving_mb : float

        Returns
        -------
        float
        """
        excess_mb = self.used_mb + arriving_mb - capacity_mb
        if excess_mb <= 0.0 or not self.used_mb:
            return 0.0
        dropped = math.ceil(excess_mb * self.copies / self.used_mb)
        return min(dropped, self.copies) * self.sole_copies / self.copies
