"""Note what the request gate needs to know of changes in the routing table."""


class TableChangeTracker:
    """Note what changed in the agent's copy of the routing table.

    Attributes
    ----------
    suspects : frozenset of str
        Fingerprints that may run only apart from each other.
    """

    def __init__(self):
        self._known_by_model = {}
        self._revision_by_model = {}
        self.suspects = frozenset()

    def update(self, table, models):
        """Take the table after a change.

        Parameters
        ----------
        table : RoutingTable
        models : iterable of str
            Models that the engine holds.
        """
        rows = table.quarantine_by_fingerprint.values()
        self.suspects = frozenset(row.fingerprint for row in rows if not row.refused)
        for model in models:
            known = _manifest_fields(table.model_by_name.get(model))
            if self._known_by_model.get(model, known) != known:
                self._revision_by_model[model] = table.revision
            self._known_by_model[model] = known

    def changed_revision(self, model):
        """Return the revision at which a model's row last changed, 0 for none.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        return self._revision_by_model.get(model, 0)


def _manifest_fields(row):
    # What a load is expected to take is no part of the manifest.
    if row is None:
        return None
    return row.serve, row.request_class, row.priority, row.most_replicas, row.requests_per_replica
