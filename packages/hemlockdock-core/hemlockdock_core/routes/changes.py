"""Differences between two route manifests, and what they do to connected callers."""

from hemlockdock_core.routes.customer_changes import customer_changes
from hemlockdock_core.routes.finding import Finding, FindingLevel
from hemlockdock_core.routes.matching import RouteMatches, match_place

PLACE_FIELDS = ("host", "prefix")
# A lower value refuses requests that were accepted before.
LIMIT_FIELDS = ("header_bytes", "body_bytes", "header_timeout_ms", "idle_timeout_ms")


def manifest_changes(in_force, manifest):
    """Return what differs from the manifest in force.

    Changes that take something from connected callers are warnings, all others notes.

    Parameters
    ----------
    in_force, manifest : RouteManifest

    Returns
    -------
    list of Finding
    """
    found = []
    if manifest.number <= in_force.number:
        message = f"a number above {in_force.number}, which is in force, got {manifest.number}"
        found.append(Finding(FindingLevel.ERROR, "limits.number", message))
    found.extend(_limit_changes(in_force.limits, manifest.limits))
    found.extend(_route_changes(in_force.routes, manifest))
    found.extend(_pool_changes(in_force.pools, manifest.pools))
    found.extend(customer_changes(in_force, manifest))
    return found


def _limit_changes(old, new):
    for name in LIMIT_FIELDS:
        before, after = getattr(old, name), getattr(new, name)
        if before == after:
            continue
        level = FindingLevel.WARNING if after < before else FindingLevel.NOTE
        yield Finding(level, old.key, f"{name} {before} -> {after}")


def _route_changes(old_routes, manifest):
    new_by_name = {route.name: route for route in manifest.routes}
    old_names = {route.name for route in old_routes}
    matches = RouteMatches(manifest.routes)
    for old in old_routes:
        new = new_by_name.get(old.name)
        if new is None:
            yield Finding(FindingLevel.WARNING, old.key, f"removed: {_fate(old, matches)}")
            continue
        if match_place(old) != match_place(new):
            message = f"moved from {old.scope!r} to {new.scope!r}: {_fate(old, matches)}"
            yield Finding(FindingLevel.WARNING, old.key, message)
        yield from _field_changes(old, new, manifest.limits.requires_keys)
    old_matches = RouteMatches(old_routes)
    for new in manifest.routes:
        if new.name in old_names:
            continue
        message = f"added at {new.scope!r}"
        former = old_matches.successor(new)
        if former is not None:
            message += f": takes requests that go to route {former.name!r} now"
        yield Finding(FindingLevel.NOTE, new.key, message)


def _fate(old, matches):
    successor = matches.successor(old)
    if successor is None:
        return "its requests get 404"
    return f"its requests go to route {successor.name!r}"


def _field_changes(old, new, requires_keys):
    for name in old.__struct_fields__:
        before, after = getattr(old, name), getattr(new, name)
        if before == after or name in PLACE_FIELDS:
            continue
        level = FindingLevel.NOTE
        message = f"{name} {_text(before)} -> {_text(after)}"
        if name == "timeout_ms" and after < before:
            level = FindingLevel.WARNING
            message += ": requests wait for less time"
        if name == "is_public" and before and requires_keys:
            level = FindingLevel.WARNING
            message += ": requests without a key get 401"
        yield Finding(level, old.key, message)


def _text(value):
    if not isinstance(value, tuple):
        return str(value)
    return ", ".join(f"{target.pool} {target.weight:g}" for target in value) or "none"


def _pool_changes(old_pools, new_pools):
    new_by_name = {pool.name: pool for pool in new_pools}
    old_names = {pool.name for pool in old_pools}
    for old in old_pools:
        new = new_by_name.get(old.name)
        if new is None:
            message = "removed: its endpoints get no new requests"
            yield Finding(FindingLevel.WARNING, old.key, message)
            continue
        lost = sorted(_model_names(old) - _model_names(new))
        if lost:
            message = f"models removed, requests for them are refused: {', '.join(lost)}"
            yield Finding(FindingLevel.WARNING, old.key, message)
        elif old != new:
            yield Finding(FindingLevel.NOTE, old.key, f"changed: {', '.join(_changed(old, new))}")
    for new in new_pools:
        if new.name not in old_names:
            yield Finding(FindingLevel.NOTE, new.key, "added")


def _model_names(pool):
    return set() if pool.engine is None else {model.name for model in pool.engine.models}


def _changed(old, new):
    names = old.__struct_fields__
    return [name for name in names if getattr(old, name) != getattr(new, name)]
