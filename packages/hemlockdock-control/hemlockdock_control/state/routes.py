"""Current route manifest and the known endpoints."""

from hemlockdock_control.state.former_values import FormerValues
from hemlockdock_control.state.model_loads import ModelLoads
from hemlockdock_core.commands import CommandResult

ACCEPTED = "accepted"
OVERTAKEN = "overtaken"
NO_POOL = ""


class Routes:
    """Route manifest with the highest number submitted so far.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    manifest : RouteManifest or None
    document : bytes
        Text of the manifest as submitted by the operator, compressed.
    former_pools : FormerValues
        Pools to which routes led, by the routes' scopes.
    """

    def __init__(self, context):
        self._context = context
        self._route_by_scope = {}
        self._row_keys = set()
        self.former_pools = FormerValues(context)
        self.manifest = None
        self.document = b""

    @property
    def number(self):
        """Return the number of the current manifest, or None."""
        return None if self.manifest is None else self.manifest.number

    def submit(self, command):
        """Make a manifest current if its number is higher than the current one.

        Parameters
        ----------
        command : SubmitRoutes

        Returns
        -------
        CommandResult
            The state is ``overtaken`` if the current manifest has the same or a higher number.
        """
        before = self.number
        if before is not None and command.manifest.number <= before:
            return CommandResult(self._context.index, state=OVERTAKEN)
        new_by_scope = _routes_by_scope(command.manifest)
        if before is not None:
            self.former_pools.note_command(command.at_ms)
            self.former_pools.note(self._former_pools(new_by_scope))
        self.manifest = command.manifest
        self.document = command.document
        self._route_by_scope = new_by_scope
        old_keys = self._row_keys
        self._row_keys = self._context.put_all(self.rows())
        for key in old_keys - self._row_keys:
            self._context.delete(key)
        after = command.manifest.number
        self._context.record(command.who, "routes", "routes", before, after)
        return CommandResult(self._context.index, state=ACCEPTED)

    def pools_since(self, scope, since_ms):
        """Return the pools to which requests of a route have gone since a time.

        Parameters
        ----------
        scope : str
            The route's scope.
        since_ms : int

        Returns
        -------
        set of str, or None
            It contains an empty name if the requests were not this route's all the time. None if
            not all changes since then are known.
        """
        former = self.former_pools.values_since(scope, since_ms)
        if former is None:
            return None
        route = self._route_by_scope.get(scope)
        return former | _used_pools(() if route is None else route.pools)

    def restore(self, manifest, document):
        """Restore the route manifest from a snapshot.

        Parameters
        ----------
        manifest : RouteManifest or None
        document : bytes
        """
        self.manifest = manifest
        self.document = document
        self._route_by_scope = {} if manifest is None else _routes_by_scope(manifest)
        self._row_keys = {row.key for row in self.rows()}

    def rows(self):
        """Yield the routing table rows of the current manifest."""
        if self.manifest is not None:
            yield from self.manifest.rows()

    def _former_pools(self, new_by_scope):
        """Return the pools that routes have until now, with the routes' scopes."""
        former = []
        # Many routes change from and to the same pools.
        lost_by_change = {}
        for scope, old in self._route_by_scope.items():
            new = new_by_scope.get(scope)
            change = (old.pools, () if new is None else new.pools)
            pools = lost_by_change.get(change)
            if pools is None:
                pools = _used_pools(change[0]) - _used_pools(change[1])
                lost_by_change[change] = pools
            for pool in pools:
                former.append((scope, pool))
            if new is None:
                former.extend(_pools_of_wider_routes(old, pools, new_by_scope))
        for scope in new_by_scope:
            if scope not in self._route_by_scope:
                former.append((scope, NO_POOL))
        return former


class Endpoints:
    """Endpoints reported by the platform and by agents.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    row_by_id : dict of str to EndpointRow
    former_versions : FormerValues
        Software versions that pools had.
    loads : ModelLoads
    """

    def __init__(self, context):
        self._context = context
        self.former_versions = FormerValues(context)
        self.loads = ModelLoads(context)
        self.row_by_id = {}

    def versions_since(self, pool, since_ms):
        """Return the software versions that a pool has had since a time.

        Parameters
        ----------
        pool : str
        since_ms : int

        Returns
        -------
        set of str, or None
            It contains an empty version if one was unknown. None if not all changes since then are
            known.
        """
        former = self.former_versions.values_since(pool, since_ms)
        if former is None:
            return None
        present = {row.software_version for row in self.row_by_id.values() if row.pool == pool}
        return former | present

    def record(self, command):
        """Add, update and remove endpoints.

        Parameters
        ----------
        command : RecordEndpoints

        Returns
        -------
        CommandResult
        """
        self.former_versions.note_command(command.at_ms)
        # A command without a measurement does not take an earlier one back.
        self.loads.store_loads = command.store_loads or self.loads.store_loads
        for row in command.present:
            old = self.row_by_id.get(row.endpoint_id)
            self._note_former_version(old, row)
            self.loads.note_row(old, row)
            self.row_by_id[row.endpoint_id] = row
            self._context.put(row)
        for endpoint_id in command.gone:
            row = self.row_by_id.pop(endpoint_id, None)
            if row is not None:
                self._note_former_version(row, None)
                self._context.delete(row.key)
        return CommandResult(self._context.index)

    def restore(self, rows):
        """Restore the endpoints from a snapshot.

        Parameters
        ----------
        rows : iterable of EndpointRow
        """
        self.row_by_id = {row.endpoint_id: row for row in rows}

    def _note_former_version(self, old, new):
        if old is None:
            return
        before = (old.pool, old.software_version)
        if new is None or before != (new.pool, new.software_version):
            self.former_versions.note([before])


def _routes_by_scope(manifest):
    return {row.scope: row for row in manifest.routes}


def _used_pools(weighted_pools):
    return {target.pool for target in weighted_pools if target.weight > 0}


def _pools_of_wider_routes(removed, pools, new_by_scope):
    """Yield the pools of a removed route for those that get its requests from now on."""
    for length in range(len(removed.prefix) + 1):
        scope = f"{removed.host}{removed.prefix[:length]}"
        row = new_by_scope.get(scope)
        if row is None or row.host != removed.host:
            continue
        for pool in pools:
            yield scope, pool
