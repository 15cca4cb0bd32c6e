"""Measure the CPU time of changes of routes, by routes and by changes in the tail of the log."""

from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.commands import SubmitRoutes
from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import LimitsRow, PoolRow, RouteKind, RouteRow, WeightedPool
from hemlockdock_core.settings import parse_settings
from slopes.probe import cpu_time_us
from slopes.slope import Slope
from slopes.slopes_state import SETTINGS

ROUTES = (850, 2_800, 14_000)
CHANGES = (20, 40, 80)
ROUTES_OF_TAIL = 850
CHANGE_INTERVAL_MS = 400
CHANGES_OF_TAIL = 10


def change(number, routes):
    """Return the log entry that moves all routes to the other one of two pools."""
    pools = (WeightedPool("pq"[number % 2], 1.0),)
    rows = tuple(
        RouteRow(f"r{n}", "h", f"/{n}/", RouteKind.IDEMPOTENT, 1_000, 100, 1, pools)
        for n in range(routes)
    )
    manifest = RouteManifest(LimitsRow(number, 1, 1, 1, 1), rows, (PoolRow("p", "/", 1),))
    return encode_command(SubmitRoutes(manifest, b"", "o", CHANGE_INTERVAL_MS * number))


def tail_us(routes, changes):
    """Return the time to apply a log of changes to a new state."""
    entries = [change(number, routes) for number in range(1, changes + 1)]

    def work():
        machine = ClusterStateMachine(parse_settings(SETTINGS, "slopes"))
        for index, entry in enumerate(entries, start=1):
            machine.apply(index, entry)

    return cpu_time_us(work)


def measure():
    """Yield the slopes of a tail, by its routes and by its changes."""
    times_us = [tail_us(routes, CHANGES_OF_TAIL) for routes in ROUTES]
    name = f"tail of {CHANGES_OF_TAIL} changes that move all routes"
    yield Slope.fit(name, "us to apply per route", ROUTES, times_us)
    times_us = [tail_us(ROUTES_OF_TAIL, changes) for changes in CHANGES]
    name = f"tail of changes that move {ROUTES_OF_TAIL} routes"
    yield Slope.fit(name, "us to apply per change", CHANGES, times_us)
