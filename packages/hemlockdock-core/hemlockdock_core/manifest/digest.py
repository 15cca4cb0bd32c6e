"""Digest of a manifest's contents."""

import hashlib

import msgspec


def manifest_digest(manifest):
    """Return the SHA-256 of a manifest's canonical JSON, in hexadecimal.

    Parameters
    ----------
    manifest : Manifest

    Returns
    -------
    str
    """
    plain = manifest.model_dump(mode="json")
    return hashlib.sha256(msgspec.json.encode(plain, order="sorted")).hexdigest()
