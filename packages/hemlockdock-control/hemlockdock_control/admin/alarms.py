"""List conditions that need an operator's attention."""

from hemlockdock_control.admin.in_force import in_force

MANIFEST_LATE_AFTER_MS = 18_000


def alarms(service, settings):
    """Return the current alarms.

    Parameters
    ----------
    service : ControlService
    settings : hemlockdock_core.settings.Settings

    Returns
    -------
    list of dict
        With ``name``, ``subject`` and ``text``.
    """
    found = []
    found.extend(_control_alarms(service, settings))
    found.extend(_node_alarms(service))
    found.extend(_manifest_alarms(service))
    for item in service.machine.state.crashes.suspect_by_fingerprint.values():
        if item.refused:
            text = f"refused until {item.until_ms}: it crashed {len(item.crash_ids)} endpoints"
            found.append(_alarm("request_quarantined", item.fingerprint, text))
    return found


def _control_alarms(service, settings):
    replicator = service.replicator
    if replicator.failure is not None:
        yield _alarm("member_failed", settings.process.node_id, str(replicator.failure))
    if not replicator.leader_id:
        yield _alarm("no_leader", settings.control.cluster, "no member leads")


def _node_alarms(service):
    for node_id, record in service.machine.state.nodes.record_by_id.items():
        if record.lost and not record.gone:
            yield _alarm("node_lost", node_id, "silent; what it holds still counts")
        if record.undecided_mb:
            text = f"{record.undecided_mb} MB are loaded there that nobody decided"
            yield _alarm("undecided_load", node_id, text)


def _manifest_alarms(service):
    state = service.machine.state
    if state.manifests.current is None:
        yield _alarm("no_manifest", "manifest", "none was accepted yet")
        return
    age_ms = service.wall_ms() - state.manifests.accepted_at_ms
    missing = in_force(service, state.manifests.revision)["missing"]
    if missing and age_ms >= MANIFEST_LATE_AFTER_MS and service.replicator.is_leader:
        yield _alarm("manifest_late", "manifest", f"not in force at {', '.join(missing)}")


def _alarm(name, subject, text):
    return {"name": name, "subject": subject, "text": text}
