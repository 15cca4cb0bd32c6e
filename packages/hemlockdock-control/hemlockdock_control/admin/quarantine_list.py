"""List quarantined requests and parts of prompts, and their suspects, for operators."""

from hemlockdock_core.suspect_keys import is_part


def quarantine_list(crashes):
    """Return one object for each suspected or quarantined request or part, quarantined ones first.

    Parameters
    ----------
    crashes : Crashes

    Returns
    -------
    list of dict
    """
    records = sorted(
        crashes.suspect_by_fingerprint.values(),
        key=lambda record: (not record.refused, record.fingerprint),
    )
    return [
        {
            "fingerprint": record.fingerprint,
            "kind": "prompt_part" if is_part(record.fingerprint) else "request",
            "refused": record.refused,
            "until_ms": record.until_ms,
            "crashes": list(record.crash_ids),
        }
        for record in records
    ]
