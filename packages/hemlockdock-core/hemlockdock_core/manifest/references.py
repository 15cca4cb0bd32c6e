"""Check that the names inside a manifest agree with each other."""


def reference_errors(manifest):
    """List duplicate names and names that nothing defines.

    Parameters
    ----------
    manifest : hemlockdock_core.manifest.Manifest

    Returns
    -------
    list of tuple of (str, str)
        Path of the field and what was expected there.
    """
    problems = []
    problems.extend(_duplicates("request_classes", manifest.request_classes))
    problems.extend(_duplicates("endpoint_groups", manifest.endpoint_groups))
    problems.extend(_duplicates("services", manifest.services))
    problems.extend(_duplicate_targets(manifest))
    problems.extend(_model_errors(manifest))
    problems.extend(_unknown_classes("services", manifest.services, manifest))
    model_names = {model.name for model in manifest.models}
    for index, adapter in enumerate(manifest.adapters):
        if adapter.model not in model_names:
            problems.append((f"adapters[{index}].model", f"unknown model {adapter.model!r}"))
    return problems


def _duplicates(field, items):
    seen = set()
    for index, item in enumerate(items):
        if item.name in seen:
            yield f"{field}[{index}].name", f"duplicate name {item.name!r}"
        seen.add(item.name)


def _duplicate_targets(manifest):
    # Callers name models and adapters in the same field, so the two share one name space.
    seen = set()
    for field in ("models", "adapters"):
        for index, item in enumerate(getattr(manifest, field)):
            if item.name in seen:
                yield f"{field}[{index}].name", f"duplicate name {item.name!r}"
            seen.add(item.name)


def _unknown_classes(field, items, manifest):
    classes = {item.name for item in manifest.request_classes}
    for index, item in enumerate(items):
        if item.request_class not in classes:
            yield f"{field}[{index}].request_class", f"unknown class {item.request_class!r}"


def _model_errors(manifest):
    groups = {group.name for group in manifest.endpoint_groups}
    yield from _unknown_classes("models", manifest.models, manifest)
    for index, model in enumerate(manifest.models):
        yield from _duplicates(f"models[{index}].versions", model.versions)
        if model.serve not in {version.name for version in model.versions}:
            yield f"models[{index}].serve", f"unknown version {model.serve!r}"
        for position, group in enumerate(model.endpoint_groups):
            if group not in groups:
                yield f"models[{index}].endpoint_groups[{position}]", f"unknown group {group!r}"
