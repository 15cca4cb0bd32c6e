"""Encode the replicated state as a snapshot, and restore it."""

import msgspec

from hemlockdock_control.state.image import IMAGE_FORMAT, NEVER_KEPT_MS, StateImage
from hemlockdock_control.state.manifest_rows import manifest_rows


def encode_image(state):
    """Encode a state as a snapshot.

    Parameters
    ----------
    state : ClusterState

    Returns
    -------
    bytes
    """
    image = StateImage(
        IMAGE_FORMAT,
        state.index,
        state.now_ms,
        state.epoch,
        state.changes.revision,
        state.manifests.body,
        state.manifests.revision,
        state.manifests.accepted_at_ms,
        list(state.manifests.accepted_by_number.values()),
        state.manifests.load_ms_by_version,
        list(state.nodes.record_by_id.values()),
        list(state.replicas.record_by_id.values()),
        list(state.run_once.record_by_key.values()),
        list(state.jobs.record_by_id.values()),
        list(state.crashes.suspect_by_fingerprint.values()),
        state.crashes.seen_until_ms_by_crash,
        state.audit.all(),
        state.routes.manifest,
        state.routes.document,
        list(state.endpoints.row_by_id.values()),
        state.routes.former_pools.all(),
        state.routes.former_pools.known_since_ms,
        state.endpoints.former_versions.all(),
        state.endpoints.former_versions.known_since_ms,
        list(state.endpoints.loads.load_by_key.values()),
        state.endpoints.loads.store_loads,
    )
    return msgspec.msgpack.encode(image)


def restore_image(state, context, data):
    """Restore a state from a snapshot.

    Parameters
    ----------
    state : ClusterState
    context : StateContext
        Context of the state.
    data : bytes

    Raises
    ------
    ValueError
        If the data is not a snapshot of the supported format.
    """
    image = msgspec.msgpack.decode(data, type=StateImage)
    if image.format != IMAGE_FORMAT:
        raise ValueError(f"unsupported snapshot format {image.format}, expected {IMAGE_FORMAT}")
    context.index = image.index
    context.now_ms = image.now_ms
    context.epoch = image.epoch
    context.audit.restore(image.audit)
    state.manifests.restore(
        image.manifest,
        image.manifest_revision,
        image.manifest_at_ms,
        image.accepted,
        image.load_ms_by_version,
    )
    state.nodes.record_by_id = {item.info.node_id: item for item in image.nodes}
    state.replicas.restore(image.replicas)
    state.run_once.restore(image.runs)
    state.jobs.restore(image.jobs)
    state.crashes.suspect_by_fingerprint = {item.fingerprint: item for item in image.suspects}
    state.crashes.seen_until_ms_by_crash = image.seen_until_ms_by_crash
    state.routes.restore(image.routes, image.routes_document)
    state.endpoints.restore(image.endpoints)
    state.endpoints.loads.restore(image.model_loads, image.store_loads)
    _restore_former_values(state, image)
    context.changes.restore(image.table_revision, _rows(state))


def _restore_former_values(state, image):
    pools_since_ms = image.former_pools_since_ms
    if pools_since_ms == NEVER_KEPT_MS:
        pools_since_ms = image.now_ms
    state.routes.former_pools.restore(image.former_pools, pools_since_ms)
    versions_since_ms = image.former_versions_since_ms
    if versions_since_ms == NEVER_KEPT_MS:
        # The versions that kept none did not commit the times of changes of endpoints either.
        versions_since_ms = None
    state.endpoints.former_versions.restore(image.former_versions, versions_since_ms)


def _rows(state):
    current = state.manifests.current
    if current is not None:
        digest = state.manifests.accepted_by_number[current.number].digest
        yield from manifest_rows(current, digest, state.manifests.load_ms_by_version)
    for record in state.nodes.record_by_id.values():
        yield record.row()
    for record in state.replicas.record_by_id.values():
        yield record.row()
    for record in state.crashes.suspect_by_fingerprint.values():
        yield record.row()
    for record in state.jobs.record_by_id.values():
        if not record.ended:
            yield record.row()
    yield from state.routes.rows()
    yield from state.endpoints.row_by_id.values()
