"""Index which checkpoints are cached at usable endpoints."""

from hemlockdock_control.loading import Tier


def checkpoint_tier(endpoint, model, version):
    """Return the fastest tier from which an endpoint can load a checkpoint.

    Parameters
    ----------
    endpoint : hemlockdock_control.placement.view.EndpointView
    model, version : str

    Returns
    -------
    Tier
    """
    return tier_by_name(endpoint, f"{model}/{version}")


def tier_by_name(endpoint, name):
    """Return the fastest tier from which an endpoint can load a named checkpoint.

    Parameters
    ----------
    endpoint : hemlockdock_control.placement.view.EndpointView
    name : str
        ``model/version``.

    Returns
    -------
    Tier
    """
    if name in endpoint.cached_in_memory:
        return Tier.MEMORY
    if name in endpoint.cached_on_disk:
        return Tier.DISK
    return Tier.REMOTE


class CheckpointIndex:
    """Count the usable endpoints that cache each checkpoint in memory and on disk.

    An update costs one comparison for each endpoint that has not changed.

    Attributes
    ----------
    count_by_tier : dict of Tier to dict of str to int
        Counts by ``model/version`` name.
    """

    def __init__(self):
        self.count_by_tier = {Tier.MEMORY: {}, Tier.DISK: {}}
        self._previous_by_id = {}

    def update(self, endpoint_by_id):
        """Apply the changes since the last update.

        Parameters
        ----------
        endpoint_by_id : dict of str to EndpointView
        """
        previous_by_id = self._previous_by_id
        for node_id, endpoint in endpoint_by_id.items():
            previous = previous_by_id.get(node_id)
            if previous is endpoint:
                continue
            if previous is not None:
                self._count(previous, -1)
            self._count(endpoint, 1)
            previous_by_id[node_id] = endpoint
        if len(previous_by_id) == len(endpoint_by_id):
            return
        for node_id in [node_id for node_id in previous_by_id if node_id not in endpoint_by_id]:
            self._count(previous_by_id.pop(node_id), -1)

    def best_tier(self, model, version):
        """Return the fastest tier at any usable endpoint.

        Parameters
        ----------
        model, version : str

        Returns
        -------
        Tier
        """
        name = f"{model}/{version}"
        for tier in (Tier.MEMORY, Tier.DISK):
            if self.count_by_tier[tier].get(name, 0) > 0:
                return tier
        return Tier.REMOTE

    def _count(self, endpoint, change):
        if not endpoint.accepts_work:
            return
        cached = ((Tier.MEMORY, endpoint.cached_in_memory), (Tier.DISK, endpoint.cached_on_disk))
        for tier, names in cached:
            counts = self.count_by_tier[tier]
            for name in names:
                counts[name] = counts.get(name, 0) + change
