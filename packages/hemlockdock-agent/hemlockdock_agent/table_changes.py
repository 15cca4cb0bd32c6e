"""Track the changes of the routing table that the request gate depends on."""


class TableChangeTracker:
    """Track changes in the agent's copy of the routing table.

    Attributes
    ----------
    suspects : frozenset of str
        Suspected fingerprints; at most one request with any of them may run at a time.
    """

    def __init__(self):
        self._known_by_model = {}
        self._revision_by_model = {}
        self.suspects = frozenset()

    def update(self, table, models):
        """Update the state from a changed table.

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
        """Return the table revision at which a model's row last changed, or 0.

        Parameters
        ----------
        model : str

        Returns
        -------
        int
        """
        return self._revision_by_model.get(model, 0)


def _manifest_fields(row):
    # The expected load time is not part of the manifest.
    if row is None:
        return None
    return row.serve, row.request_class, row.priority, row.most_replicas, row.requests_per_replica
