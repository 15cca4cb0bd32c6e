"""Digests of customers' keys, so that the keys themselves are not stored or sent on."""

from hashlib import sha256

# White space around a header's value is not part of it.
HEADER_WHITE_SPACE = b" \t"


def key_digest(key):
    """Return the digest by which a key is known inside the system.

    Parameters
    ----------
    key : bytes
        White space around it doesn't count.

    Returns
    -------
    str
        Hexadecimal SHA-256.
    """
    return sha256(key.strip(HEADER_WHITE_SPACE)).hexdigest()
