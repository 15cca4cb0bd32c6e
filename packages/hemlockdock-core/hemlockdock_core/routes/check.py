"""Find what is wrong with a route manifest."""

from hemlockdock_core.errors import FieldError, InvalidInputError


def read_routes(wire, data, source):
    """Return the route manifest that an operator's text holds, if nothing is wrong with it.

    Parameters
    ----------
    wire : Wire
        The adapter whose form the text has.
    data : bytes
    source : str
        What to call the input in errors.

    Returns
    -------
    RouteManifest

    Raises
    ------
    InvalidInputError
    """
    manifest = wire.decode_routes(data)
    errors = route_errors(manifest, source)
    if errors:
        raise InvalidInputError(errors)
    return manifest


def route_errors(manifest, source):
    """Return every bad field of a route manifest.

    Parameters
    ----------
    manifest : RouteManifest
    source : str
        What to call the input in errors.

    Returns
    -------
    list of FieldError
    """
    errors = []
    pool_names = {pool.name for pool in manifest.pools}
    place_owners = {}
    names = set()
    for position, route in enumerate(manifest.routes):
        path = f"routes[{position}]"
        if route.name in names:
            errors.append(FieldError(source, f"{path}.name", f"a name of its own: {route.name!r}"))
        names.add(route.name)
        errors.extend(_pool_errors(route, pool_names, source, path))
        if route.timeout_ms <= 0:
            errors.append(FieldError(source, f"{path}.timeout_ms", "more than 0"))
        place = (route.host, route.prefix)
        other = place_owners.setdefault(place, route.name)
        if other != route.name:
            expected = f"another host or prefix than route {other!r}"
            errors.append(FieldError(source, f"{path}.prefix", expected))
    return errors


def _pool_errors(route, pool_names, source, path):
    weight = 0.0
    for target in route.pools:
        weight += target.weight
        if target.pool not in pool_names:
            yield FieldError(source, f"{path}.pools", f"a known pool, got {target.pool!r}")
        if target.weight < 0:
            yield FieldError(source, f"{path}.pools", "no weight below 0")
    if weight <= 0:
        yield FieldError(source, f"{path}.pools", "weights whose sum is more than 0")
