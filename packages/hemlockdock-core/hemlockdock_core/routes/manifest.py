"""Route manifest."""

import msgspec

from hemlockdock_core.rows import CustomerRow, LimitsRow, PoolRow, RouteRow


class RouteManifest(msgspec.Struct, frozen=True, array_like=True):
    """All routes, pools and limits, which operators submit and activate together.

    Attributes
    ----------
    limits : LimitsRow
        Contains the manifest's number; the manifest with the highest number is active.
    routes : tuple of RouteRow
    pools : tuple of PoolRow
    customers : tuple of CustomerRow
    """

    limits: LimitsRow
    routes: tuple[RouteRow, ...]
    pools: tuple[PoolRow, ...]
    customers: tuple[CustomerRow, ...] = ()

    @property
    def number(self):
        """Return the manifest's number."""
        return self.limits.number

    def rows(self):
        """Yield the routing table rows of the manifest."""
        yield self.limits
        yield from self.routes
        yield from self.pools
        yield from self.customers
