"""Check for duplicate names and undefined references in a manifest.

The check reads the decoded JSON, so that it also reports errors in manifests that have invalid
fields. Values of the wrong type are skipped; the pydantic models report them.
"""


def reference_errors(document):
    """Return the duplicate names and undefined references of a manifest.

    Parameters
    ----------
    document : object
        Decoded JSON.

    Returns
    -------
    list of tuple of (str, str)
        Path and error message of each invalid field.
    """
    if not isinstance(document, dict):
        return []
    errors = []
    for field in ("request_classes", "endpoint_groups", "services"):
        errors.extend(_duplicate_names(document, [field]))
    # Clients name models and adapters in the same field, so both share a namespace.
    errors.extend(_duplicate_names(document, ["models", "adapters"]))
    for field in ("models", "services"):
        errors.extend(
            _undefined_references(document, field, "request_class", "request_classes", "class")
        )
    errors.extend(_undefined_references(document, "adapters", "model", "models", "model"))
    for index, model in _objects(document, "models"):
        errors.extend(_model_errors(document, f"models[{index}]", model))
    return errors


def _objects(parent, field):
    values = parent.get(field)
    if not isinstance(values, list):
        return
    for index, item in enumerate(values):
        if isinstance(item, dict):
            yield index, item


def _defined_names(parent, field):
    return {item.get("name") for _, item in _objects(parent, field) if _is_name(item.get("name"))}


def _is_name(value):
    return isinstance(value, str)


def _duplicate_names(parent, fields, prefix=""):
    seen = set()
    for field in fields:
        for index, item in _objects(parent, field):
            name = item.get("name")
            if not _is_name(name):
                continue
            if name in seen:
                yield f"{prefix}{field}[{index}].name", f"duplicate name {name!r}"
            seen.add(name)


def _undefined_references(document, field, key, defined_in, kind):
    known = _defined_names(document, defined_in)
    for index, item in _objects(document, field):
        name = item.get(key)
        if _is_name(name) and name not in known:
            yield f"{field}[{index}].{key}", f"unknown {kind} {name!r}"


def _model_errors(document, path, model):
    yield from _duplicate_names(model, ["versions"], prefix=f"{path}.")
    serve = model.get("serve")
    if _is_name(serve) and serve not in _defined_names(model, "versions"):
        yield f"{path}.serve", f"unknown version {serve!r}"
    groups = model.get("endpoint_groups")
    if not isinstance(groups, list):
        return
    known = _defined_names(document, "endpoint_groups")
    for position, group in enumerate(groups):
        if _is_name(group) and group not in known:
            yield f"{path}.endpoint_groups[{position}]", f"unknown group {group!r}"
