"""Warnings about valid route manifests that probably don't do what was intended."""

from hemlockdock_core.routes.finding import Finding, FindingLevel
from hemlockdock_core.routes.matching import RouteMatches, can_match


def route_warnings(manifest):
    """Return warnings about a valid route manifest.

    Parameters
    ----------
    manifest : RouteManifest

    Returns
    -------
    list of Finding
    """
    found = []
    for position, route in enumerate(manifest.routes):
        path = f"routes[{position}]"
        found.extend(_route_doubts(route, path, manifest.limits.requires_keys))
    found.extend(_shadowed_routes(manifest.routes))
    used_pools = {target.pool for route in manifest.routes for target in route.pools}
    for position, pool in enumerate(manifest.pools):
        path = f"pools[{position}]"
        if pool.name not in used_pools:
            found.append(_warning(path, f"no route refers to pool {pool.name!r}"))
        found.extend(_engine_doubts(pool.engine, f"{path}.engine"))
    for position, customer in enumerate(manifest.customers):
        found.extend(_customer_doubts(customer, f"customers[{position}]"))
    return found


def _warning(path, message):
    return Finding(FindingLevel.WARNING, path, message)


def _route_doubts(route, path, requires_keys):
    if not can_match(route):
        message = f"{route.prefix!r} does not begin and end with a slash, so it never matches"
        yield _warning(f"{path}.prefix", message)
    weighted = [target for target in route.pools if target.weight > 0]
    if len(route.pools) > 1 and len(weighted) == 1:
        yield _warning(f"{path}.pools", f"the weights leave only pool {weighted[0].pool!r}")
    if route.timeout_ms < route.target_ms:
        message = f"{route.timeout_ms} ms is below the target of {route.target_ms} ms"
        yield _warning(f"{path}.timeout_ms", message)
    if route.most_endpoints > 1 and not route.may_repeat:
        message = f"{route.most_endpoints} endpoints for requests that may not be repeated"
        yield _warning(f"{path}.most_endpoints", message)
    if route.is_public and not requires_keys:
        yield _warning(f"{path}.is_public", "no effect, as no route requires a customer's key")


def _shadowed_routes(routes):
    position_by_name = {route.name: position for position, route in enumerate(routes)}
    for group in RouteMatches(routes).routes_by_place.values():
        for route in group[:-1]:
            path = f"routes[{position_by_name[route.name]}].host"
            message = f"only one of this route and route {group[-1].name!r} can match: their hosts"
            yield _warning(path, f"{message} differ in case only, and their prefixes are equal")


def _engine_doubts(engine, path):
    if engine is None:
        return
    if engine.slots < 1:
        yield _warning(f"{path}.slots", f"{engine.slots} slots can't run a request")
    for position, model in enumerate(engine.models):
        if model.weights_mb > engine.weights_mb:
            message = f"{model.name!r} needs {model.weights_mb:g} MB of {engine.weights_mb:g} MB"
            yield _warning(f"{path}.models[{position}].weights_mb", message)


def _customer_doubts(customer, path):
    if not customer.key_digests:
        yield _warning(f"{path}.key_digests", f"customer {customer.name!r} has no keys")
    quota = customer.quota
    if quota is None or quota.per_s == 0:
        return
    value_by_name = {"per_s": quota.per_s, "burst": quota.burst}
    for name, value in value_by_name.items():
        if value < quota.default_tokens:
            message = f"{value:g} is below the {quota.default_tokens:g} tokens of a default request"
            yield _warning(f"{path}.quota.{name}", message)
