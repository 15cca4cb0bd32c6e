"""Route manifests of the soak test."""

from hemlockdock_core.routes import RouteManifest
from hemlockdock_core.rows import (
    EngineSpec,
    LimitsRow,
    ModelSpec,
    PoolRow,
    RouteKind,
    RouteRow,
    WeightedPool,
)

MODELS = ("m0", "m1")


def manifest(number, resumable=False, models=MODELS, added=""):
    """Return a route manifest with an engine pool and a plain pool.

    Parameters
    ----------
    number : int
    resumable : bool, optional
        Whether streams may be resumed.
    models : iterable of str, optional
    added : str, optional
        Name of a further route to the plain pool.

    Returns
    -------
    RouteManifest
    """
    specs = tuple(ModelSpec(name, 30.0, 0, 0.0, 500, 200, 300) for name in models)
    engine = EngineSpec(8, 1_000, 1, 40.0, 4, 0.0, 0.0, 9.0, specs)
    routes = (
        _route("read", RouteKind.IDEMPOTENT, "shop"),
        _route("write", RouteKind.AT_MOST_ONCE, "shop"),
        _route("live", RouteKind.STREAM, "lm", resumable),
        _route("told", RouteKind.STREAM, "lm", resumable=True),
    )
    if added:
        routes += (_route(added, RouteKind.IDEMPOTENT, "shop"),)
    limits = LimitsRow(number, 16_384, 1_000_000, 3_000, 15_000)
    return RouteManifest(limits, routes, (PoolRow("shop", "/", 60), PoolRow("lm", "/", 60, engine)))


def _route(name, kind, pool, resumable=False):
    pools = (WeightedPool(pool, 1.0),)
    prefix = f"/{name}/"
    return RouteRow(
        name, "shop.test", prefix, kind, 10_000, 5_000, 1, pools, 2, resumable=resumable
    )
