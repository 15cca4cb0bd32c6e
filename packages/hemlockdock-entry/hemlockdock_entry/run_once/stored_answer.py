"""Hold a small answer that is kept for resends."""

import msgspec


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Hold a small answer that is kept for resends.

    Attributes
    ----------
    status : int
    content_type : str
    body : bytes
    """

    status: int
    content_type: str
    body: bytes
