"""Convert a manifest to rows of the routing table."""

from hemlockdock_core.rows import AdapterRow, ClassRow, ManifestRow, ModelRow, ServiceRow

UNKNOWN_LOAD_MS = 5_000


def manifest_rows(manifest, digest, load_ms_by_version):
    """Return the routing table rows of a manifest.

    Parameters
    ----------
    manifest : hemlockdock_core.manifest.Manifest
    digest : str
    load_ms_by_version : dict of str to int
        Load durations by ``model/version``, in milliseconds.

    Returns
    -------
    list of Row
    """
    rows = [ManifestRow(manifest.number, digest, manifest.deployment)]
    rows.extend(_class_row(item) for item in manifest.request_classes)
    rows.extend(model_row(item, load_ms_by_version) for item in manifest.models)
    rows.extend(AdapterRow(item.name, item.model) for item in manifest.adapters)
    rows.extend(_service_row(item) for item in manifest.services)
    return rows


def _class_row(item):
    return ClassRow(
        item.name,
        item.kind.value,
        item.deadline_ms,
        item.repeatable,
        item.priority,
        item.retention_s,
    )


def model_row(item, load_ms_by_version):
    """Return the routing table row of a model.

    Parameters
    ----------
    item : hemlockdock_core.manifest.Model
    load_ms_by_version : dict of str to int

    Returns
    -------
    ModelRow
    """
    return ModelRow(
        item.name,
        item.serve,
        item.request_class,
        item.priority,
        item.most_replicas,
        item.requests_per_replica,
        load_ms_by_version.get(f"{item.name}/{item.serve}", UNKNOWN_LOAD_MS),
    )


def _service_row(item):
    return ServiceRow(
        item.name,
        [str(url) for url in item.urls],
        item.request_class,
        list(item.repeatable_methods),
        item.most_in_flight,
    )
