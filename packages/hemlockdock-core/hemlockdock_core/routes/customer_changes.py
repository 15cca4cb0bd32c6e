"""Differences between the customers of two route manifests; keys are only counted."""

from math import inf

from hemlockdock_core.routes.finding import Finding, FindingLevel


def customer_changes(in_force, manifest):
    """Yield what differs for customers, and what it does to connected callers.

    Parameters
    ----------
    in_force, manifest : RouteManifest

    Yields
    ------
    Finding
    """
    old_needed, new_needed = in_force.limits.requires_keys, manifest.limits.requires_keys
    if new_needed and not old_needed:
        message = "keys are now required: requests without one get 401 unless their route is public"
        yield Finding(FindingLevel.WARNING, "limits/all", message)
    if old_needed and not new_needed:
        yield Finding(FindingLevel.NOTE, "limits/all", "keys are no longer required")
    new_by_name = {customer.name: customer for customer in manifest.customers}
    old_names = {customer.name for customer in in_force.customers}
    owner_by_digest = {
        digest: customer.name for customer in manifest.customers for digest in customer.key_digests
    }
    for old in in_force.customers:
        new = new_by_name.get(old.name)
        if new is None:
            yield Finding(FindingLevel.WARNING, old.key, "removed")
        yield from _key_changes(old, owner_by_digest, new_needed)
        if new is None:
            continue
        added = len(set(new.key_digests) - set(old.key_digests))
        if added:
            yield Finding(FindingLevel.NOTE, old.key, f"keys added: {added}")
        yield from _quota_changes(old, new)
        if old.urgency != new.urgency:
            message = f"urgency {old.urgency} -> {new.urgency}"
            yield Finding(FindingLevel.NOTE, old.key, message)
    for new in manifest.customers:
        if new.name not in old_names:
            yield Finding(FindingLevel.NOTE, new.key, f"added, keys: {len(new.key_digests)}")


def _key_changes(old, owner_by_digest, keys_needed):
    removed = 0
    count_by_owner = {}
    for digest in set(old.key_digests):
        owner = owner_by_digest.get(digest)
        if owner is None:
            removed += 1
        elif owner != old.name:
            count_by_owner[owner] = count_by_owner.get(owner, 0) + 1
    if removed:
        effect = "; their callers get 401, also on open connections" if keys_needed else ""
        yield Finding(FindingLevel.WARNING, old.key, f"keys removed: {removed}{effect}")
    for owner, count in sorted(count_by_owner.items()):
        message = f"keys moved to customer {owner!r}, for which their callers then count: {count}"
        yield Finding(FindingLevel.WARNING, old.key, message)


def _quota_changes(old, new):
    before, after = _quota_values(old.quota), _quota_values(new.quota)
    if before == after:
        return
    message = f"quota {_quota_text(old.quota)} -> {_quota_text(new.quota)}"
    # Requests that count for more use the quota up earlier.
    is_lower = after[0] < before[0] or after[1] < before[1] or after[2] > before[2]
    if is_lower and after[0] != inf:
        message += ": requests over it get 429"
        yield Finding(FindingLevel.WARNING, old.key, message)
        return
    yield Finding(FindingLevel.NOTE, old.key, message)


def _quota_values(quota):
    """Return rate, burst, default tokens and unit; without a quota rate and burst are infinite."""
    if quota is None or quota.per_s == 0:
        return inf, inf, 0.0, True
    return quota.per_s, quota.burst, quota.default_tokens, quota.counts_tokens


def _quota_text(quota):
    if quota is None or quota.per_s == 0:
        return "none"
    unit = "tokens" if quota.counts_tokens else "requests"
    burst, default = f"{quota.burst:g}", f"{quota.default_tokens:g}"
    return f"{quota.per_s:g} {unit}/s, burst {burst}, {default} by default"
