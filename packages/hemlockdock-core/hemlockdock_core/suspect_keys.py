"""Keys of what may crash endpoints: whole requests, and parts of prompts."""

# An entry sees only its own requests at an endpoint, so chance explains two crashes too often.
CRASHES_BEFORE_QUARANTINE = 3
# One request that comes again and again says nothing about the parts of its prompt.
MIN_REQUESTS_OF_PART = 2
# Reports on one endpoint within this time are about the same crash: a restart takes longer.
SAME_CRASH_MS = 3_000

PART_PREFIX = "part:"


def part_key(part_id):
    """Return the key of a part of a prompt; the key of a whole request is its fingerprint.

    Parameters
    ----------
    part_id : str

    Returns
    -------
    str
    """
    return PART_PREFIX + part_id


def is_part(key):
    """Return whether a key is that of a part of a prompt.

    Parameters
    ----------
    key : str

    Returns
    -------
    bool
    """
    return key.startswith(PART_PREFIX)
