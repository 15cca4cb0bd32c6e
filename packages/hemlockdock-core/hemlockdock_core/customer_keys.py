"""Digests of customers' keys, so that the keys themselves are not stored or sent on."""

from hashlib import sha256


def key_digest(key):
    """Return the digest by which a key is known inside the system.

    Parameters
    ----------
    key : bytes

    Returns
    -------
    str
        Hexadecimal SHA-256.
    """
    return sha256(key).hexdigest()
