"""A node's copy of the routing table."""

from functools import singledispatchmethod

from hemlockdock_core.rows.adapter_row import AdapterRow
from hemlockdock_core.rows.class_row import ClassRow
from hemlockdock_core.rows.customer_row import CustomerRow
from hemlockdock_core.rows.endpoint_row import EndpointRow
from hemlockdock_core.rows.job_row import JobRow
from hemlockdock_core.rows.limits_row import LimitsRow
from hemlockdock_core.rows.manifest_row import ManifestRow
from hemlockdock_core.rows.model_row import ModelRow
from hemlockdock_core.rows.node_row import NodeRow
from hemlockdock_core.rows.pool_row import PoolRow
from hemlockdock_core.rows.quarantine_row import QuarantineRow
from hemlockdock_core.rows.replica_row import ReplicaRow
from hemlockdock_core.rows.route_row import RouteRow
from hemlockdock_core.rows.service_row import ServiceRow


class RoutingTable:
    """The rows of the routing table, indexed for lookups.

    Attributes
    ----------
    epoch, revision : int
    manifest : ManifestRow or None
    class_by_name, model_by_name, adapter_by_name, service_by_name : dict
    node_by_id, replica_by_id, quarantine_by_fingerprint, job_by_id : dict
    replica_ids_by_model : dict of str to set of str
    route_by_name, pool_by_name, endpoint_by_id, limits_by_scope, customer_by_name : dict
    """

    def __init__(self):
        self.epoch = 0
        self.revision = 0
        self.clear()

    def clear(self):
        """Remove all rows, but keep epoch and revision."""
        self.manifest = None
        self.class_by_name = {}
        self.model_by_name = {}
        self.adapter_by_name = {}
        self.service_by_name = {}
        self.node_by_id = {}
        self.replica_by_id = {}
        self.quarantine_by_fingerprint = {}
        self.job_by_id = {}
        self.replica_ids_by_model = {}
        self.route_by_name = {}
        self.pool_by_name = {}
        self.endpoint_by_id = {}
        self.limits_by_scope = {}
        self.customer_by_name = {}

    def put(self, row):
        """Insert or replace a row.

        Parameters
        ----------
        row : Row
        """
        if isinstance(row, ManifestRow):
            self.manifest = row
            return
        collection, name = self._locate(row)
        collection[name] = row
        if isinstance(row, ReplicaRow):
            self.replica_ids_by_model.setdefault(row.model, set()).add(row.replica_id)

    def delete(self, key):
        """Remove the row with a key, if there is one.

        Parameters
        ----------
        key : str
        """
        prefix, _, name = key.partition("/")
        if prefix == "manifest":
            self.manifest = None
            return
        row = self._collection(prefix).pop(name, None)
        if isinstance(row, ReplicaRow):
            ids = self.replica_ids_by_model[row.model]
            ids.discard(name)
            if not ids:
                del self.replica_ids_by_model[row.model]

    def rows(self):
        """Yield every row."""
        if self.manifest is not None:
            yield self.manifest
        for prefix in (
            "class",
            "model",
            "adapter",
            "service",
            "node",
            "replica",
            "quarantine",
            "job",
            "route",
            "pool",
            "endpoint",
            "limits",
            "customer",
        ):
            yield from self._collection(prefix).values()

    @property
    def limits(self):
        """Return the LimitsRow, or None if no route manifest is active."""
        return self.limits_by_scope.get("all")

    def replicas_of(self, model):
        """Return the rows of a model's replicas, ordered by replica id.

        Parameters
        ----------
        model : str

        Returns
        -------
        list of ReplicaRow
        """
        ids = self.replica_ids_by_model.get(model, ())
        return [self.replica_by_id[replica_id] for replica_id in sorted(ids)]

    def _collection(self, prefix):
        return {
            "class": self.class_by_name,
            "model": self.model_by_name,
            "adapter": self.adapter_by_name,
            "service": self.service_by_name,
            "node": self.node_by_id,
            "replica": self.replica_by_id,
            "quarantine": self.quarantine_by_fingerprint,
            "job": self.job_by_id,
            "route": self.route_by_name,
            "pool": self.pool_by_name,
            "endpoint": self.endpoint_by_id,
            "limits": self.limits_by_scope,
            "customer": self.customer_by_name,
        }[prefix]

    @singledispatchmethod
    def _locate(self, row):
        raise TypeError(f"unknown row type {type(row).__name__}")

    @_locate.register
    def _(self, row: ClassRow):
        return self.class_by_name, row.name

    @_locate.register
    def _(self, row: ModelRow):
        return self.model_by_name, row.name

    @_locate.register
    def _(self, row: AdapterRow):
        return self.adapter_by_name, row.name

    @_locate.register
    def _(self, row: ServiceRow):
        return self.service_by_name, row.name

    @_locate.register
    def _(self, row: NodeRow):
        return self.node_by_id, row.node_id

    @_locate.register
    def _(self, row: ReplicaRow):
        return self.replica_by_id, row.replica_id

    @_locate.register
    def _(self, row: QuarantineRow):
        return self.quarantine_by_fingerprint, row.fingerprint

    @_locate.register
    def _(self, row: JobRow):
        return self.job_by_id, row.job_id

    @_locate.register
    def _(self, row: RouteRow):
        return self.route_by_name, row.name

    @_locate.register
    def _(self, row: PoolRow):
        return self.pool_by_name, row.name

    @_locate.register
    def _(self, row: EndpointRow):
        return self.endpoint_by_id, row.endpoint_id

    @_locate.register
    def _(self, row: LimitsRow):
        return self.limits_by_scope, "all"

    @_locate.register
    def _(self, row: CustomerRow):
        return self.customer_by_name, row.name
