"""Check that the names inside a manifest agree with each other.

The check reads the plain JSON document, so that it finds what it can beside fields that are bad
in themselves; whatever has the wrong shape is left to the models.
"""


def reference_errors(document):
    """List duplicate names and names that nothing defines.

    Parameters
    ----------
    document : object
        Decoded JSON.

    Returns
    -------
    list of tuple of (str, str)
        Path of the field and what was expected there.
    """
    if not isinstance(document, dict):
        return []
    problems = []
    for field in ("request_classes", "endpoint_groups", "services"):
        problems.extend(_duplicates(document, [field]))
    # Callers name models and adapters in the same field, so the two share one name space.
    problems.extend(_duplicates(document, ["models", "adapters"]))
    for field in ("models", "services"):
        problems.extend(_unknown(document, field, "request_class", "request_classes", "class"))
    problems.extend(_unknown(document, "adapters", "model", "models", "model"))
    for index, model in _items(document, "models"):
        problems.extend(_model_errors(document, f"models[{index}]", model))
    return problems


def _items(holder, field):
    values = holder.get(field)
    if not isinstance(values, list):
        return
    for index, item in enumerate(values):
        if isinstance(item, dict):
            yield index, item


def _names(holder, field):
    return {item.get("name") for _, item in _items(holder, field) if _is_name(item.get("name"))}


def _is_name(value):
    return isinstance(value, str)


def _duplicates(holder, fields, prefix=""):
    seen = set()
    for field in fields:
        for index, item in _items(holder, field):
            name = item.get("name")
            if not _is_name(name):
                continue
            if name in seen:
                yield f"{prefix}{field}[{index}].name", f"duplicate name {name!r}"
            seen.add(name)


def _unknown(document, field, key, defined_in, what):
    known = _names(document, defined_in)
    for index, item in _items(document, field):
        name = item.get(key)
        if _is_name(name) and name not in known:
            yield f"{field}[{index}].{key}", f"unknown {what} {name!r}"


def _model_errors(document, path, model):
    yield from _duplicates(model, ["versions"], prefix=f"{path}.")
    serve = model.get("serve")
    if _is_name(serve) and serve not in _names(model, "versions"):
        yield f"{path}.serve", f"unknown version {serve!r}"
    groups = model.get("endpoint_groups")
    if not isinstance(groups, list):
        return
    known = _names(document, "endpoint_groups")
    for position, group in enumerate(groups):
        if _is_name(group) and group not in known:
            yield f"{path}.endpoint_groups[{position}]", f"unknown group {group!r}"
