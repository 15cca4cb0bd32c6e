"""Current route manifest and the known endpoints."""

from hemlockdock_core.commands import CommandResult

ACCEPTED = "accepted"
OVERTAKEN = "overtaken"


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
    """

    def __init__(self, context):
        self._context = context
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
        old_keys = self._row_keys()
        self.manifest = command.manifest
        self.document = command.document
        for row in command.manifest.rows():
            self._context.put(row)
        for key in old_keys - self._row_keys():
            self._context.delete(key)
        after = command.manifest.number
        self._context.record(command.who, "routes", "routes", before, after)
        return CommandResult(self._context.index, state=ACCEPTED)

    def restore(self, manifest, document):
        """Restore the route manifest from a snapshot.

        Parameters
        ----------
        manifest : RouteManifest or None
        document : bytes
        """
        self.manifest = manifest
        self.document = document

    def rows(self):
        """Yield the routing table rows of the current manifest."""
        if self.manifest is not None:
            yield from self.manifest.rows()

    def _row_keys(self):
        return {row.key for row in self.rows()}


class Endpoints:
    """Endpoints reported by the platform and by agents.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    row_by_id : dict of str to EndpointRow
    """

    def __init__(self, context):
        self._context = context
        self._gone_versions = None
        self.row_by_id = {}

    def take_gone_versions(self):
        """Return the pools and software versions of rows that are no more, and forget them.

        Returns
        -------
        set of (str, str) or None
            Those since the last call; None if they are not known, after a snapshot or at the start.
        """
        gone, self._gone_versions = self._gone_versions, set()
        return gone

    def record(self, command):
        """Add, update and remove endpoints.

        Parameters
        ----------
        command : RecordEndpoints

        Returns
        -------
        CommandResult
        """
        for row in command.present:
            self._note_gone(self.row_by_id.get(row.endpoint_id))
            self.row_by_id[row.endpoint_id] = row
            self._context.put(row)
        for endpoint_id in command.gone:
            row = self.row_by_id.pop(endpoint_id, None)
            if row is not None:
                self._note_gone(row)
                self._context.delete(row.key)
        return CommandResult(self._context.index)

    def restore(self, rows):
        """Restore the endpoints from a snapshot.

        Parameters
        ----------
        rows : iterable of EndpointRow
        """
        self._gone_versions = None
        self.row_by_id = {row.endpoint_id: row for row in rows}

    def _note_gone(self, row):
        if row is not None and self._gone_versions is not None:
            self._gone_versions.add((row.pool, row.software_version))
