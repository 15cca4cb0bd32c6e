"""Validation of route manifests."""

import msgspec

from hemlockdock_core.errors import FieldError, InvalidInputError
from hemlockdock_core.routes.customer_check import CustomerFields, customer_errors


def parse_routes(wire, data, source):
    """Decode and validate the route manifest that an operator submitted.

    Parameters
    ----------
    wire : Wire
        Platform adapter that defines the format of the data.
    data : bytes
    source : str
        Name of the input in error messages.

    Returns
    -------
    RouteManifest

    Raises
    ------
    InvalidInputError
        If any field is invalid.
    """
    manifest = wire.decode_routes(data)
    errors = [*route_errors(manifest, source), *_number_errors(manifest, source)]
    if errors:
        raise InvalidInputError(errors)
    return manifest


def route_errors(manifest, source):
    """Return all invalid fields of a route manifest.

    Parameters
    ----------
    manifest : RouteManifest
    source : str
        Name of the input in error messages.

    Returns
    -------
    list of FieldError
    """
    errors = []
    pool_names = {pool.name for pool in manifest.pools}
    route_name_by_match_key = {}
    names = set()
    for position, route in enumerate(manifest.routes):
        path = f"routes[{position}]"
        if route.name in names:
            errors.append(FieldError(source, f"{path}.name", f"a name of its own: {route.name!r}"))
        names.add(route.name)
        errors.extend(_pool_errors(route, pool_names, source, path))
        if route.timeout_ms <= 0:
            errors.append(FieldError(source, f"{path}.timeout_ms", "more than 0"))
        match_key = (route.host, route.prefix)
        first_route_name = route_name_by_match_key.setdefault(match_key, route.name)
        if first_route_name != route.name:
            expected = f"another host or prefix than route {first_route_name!r}"
            errors.append(FieldError(source, f"{path}.prefix", expected))
    errors.extend(customer_errors(manifest.customers, source, CustomerFields()))
    return errors


def _number_errors(manifest, source):
    try:
        msgspec.msgpack.encode(manifest)
    except OverflowError:
        yield FieldError(source, "(numbers)", "integers of at most 64 bits")


def _pool_errors(route, pool_names, source, path):
    total_weight = 0.0
    for target in route.pools:
        total_weight += target.weight
        if target.pool not in pool_names:
            yield FieldError(source, f"{path}.pools", f"a known pool, got {target.pool!r}")
        if target.weight < 0:
            yield FieldError(source, f"{path}.pools", "no weight below 0")
    if total_weight <= 0:
        yield FieldError(source, f"{path}.pools", "weights whose sum is more than 0")
