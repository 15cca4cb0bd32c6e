"""Software versions that the endpoints of each pool have had lately.

If a pool had only one version for as long as a client may have waited, a stream whose beginning is
not recorded, or not named, began at that version.
"""


class VersionHistory:
    """Versions of each pool in the routing table, now and in the past."""

    def __init__(self):
        self._known_since_s = None
        self._versions_by_pool = {}
        self._last_seen_s_by_key = {}

    def update(self, rows_by_pool, now_s):
        """Record the versions of a new routing table.

        Parameters
        ----------
        rows_by_pool : dict of str to list of EndpointRow
        now_s : float
        """
        if self._known_since_s is None:
            self._known_since_s = now_s
        for pool, versions in self._versions_by_pool.items():
            for version in versions:
                self._last_seen_s_by_key[pool, version] = now_s
        self._versions_by_pool = {
            pool: {row.software_version for row in rows} for pool, rows in rows_by_pool.items()
        }

    def only_version(self, pool, now_s, window_s):
        """Return the only version that a pool has had for some time.

        Parameters
        ----------
        pool : str
        now_s, window_s : float

        Returns
        -------
        str
            Empty if there were several, or if this entry does not know.
        """
        since_s = now_s - window_s
        if self._known_since_s is None or self._known_since_s > since_s:
            return ""
        versions = set(self._versions_by_pool.get(pool, ()))
        for (seen_pool, version), last_seen_s in self._last_seen_s_by_key.items():
            if seen_pool == pool and last_seen_s >= since_s:
                versions.add(version)
        return versions.pop() if len(versions) == 1 else ""
