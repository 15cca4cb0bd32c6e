"""Software versions that the endpoints of each pool have had lately.

If a pool had only one version for as long as a client may have waited, a stream whose beginning is
not recorded, or not named, began at that version.
"""


class VersionHistory:
    """Versions of each pool, now and in the past, as this process has seen them."""

    def __init__(self):
        self._known_since_s = None
        self._last_seen_s_by_key = {}

    def update(self, endpoints, now_s):
        """Record the versions that are present, and those that were since the last update.

        Parameters
        ----------
        endpoints : Endpoints
        now_s : float
        """
        gone_keys = endpoints.take_gone_versions()
        if gone_keys is None or self._known_since_s is None:
            self._known_since_s = now_s
            gone_keys = set()
        present_keys = {(row.pool, row.software_version) for row in endpoints.row_by_id.values()}
        for key in present_keys | gone_keys:
            self._last_seen_s_by_key[key] = now_s

    def only_version(self, pool, now_s, window_s):
        """Return the only version that a pool has had for some time.

        Parameters
        ----------
        pool : str
        now_s, window_s : float

        Returns
        -------
        str
            Empty if there were several, or if the process has not known the pool for so long.
        """
        since_s = now_s - window_s
        if self._known_since_s is None or self._known_since_s > since_s:
            return ""
        versions = set()
        for (seen_pool, version), last_seen_s in self._last_seen_s_by_key.items():
            if seen_pool == pool and last_seen_s >= since_s:
                versions.add(version)
        return versions.pop() if len(versions) == 1 else ""
