"""Decide which suspects explain crashes that are known by incomplete reports."""

from hemlockdock_core.suspect_keys import CRASHES_BEFORE_QUARANTINE, MIN_REQUESTS_OF_PART, is_part


def explaining_suspects(records):
    """Return the suspects that explain the crashes in which they were in flight.

    Whole requests come first. Of the parts of prompts, those in the most crashes are returned;
    parts that were in the same crashes can't be told apart and are returned together.

    Parameters
    ----------
    records : iterable of SuspectRecord

    Returns
    -------
    list of SuspectRecord
        Empty if there is no explanation yet.
    """
    candidates = [record for record in records if _is_candidate(record)]
    for record in candidates:
        if not is_part(record.fingerprint):
            return [record]
    if not candidates:
        return []
    leading = max(candidates, key=lambda record: (len(record.crash_ids), record.fingerprint))
    crash_ids = set(leading.crash_ids)
    return [record for record in candidates if set(record.crash_ids) == crash_ids]


def indistinguishable(record, records):
    """Return the quarantined parts that can't be told apart from one by their crashes.

    Parameters
    ----------
    record : SuspectRecord
        A quarantined part.
    records : iterable of SuspectRecord

    Returns
    -------
    list of SuspectRecord
        Includes ``record``.
    """
    crash_ids = set(record.crash_ids)
    found = []
    for other in records:
        if not other.refused or not is_part(other.fingerprint):
            continue
        if set(other.crash_ids) == crash_ids:
            found.append(other)
    return found


def _is_candidate(record):
    if record.refused or len(record.crash_ids) < CRASHES_BEFORE_QUARANTINE:
        return False
    return not is_part(record.fingerprint) or len(record.requests) >= MIN_REQUESTS_OF_PART
