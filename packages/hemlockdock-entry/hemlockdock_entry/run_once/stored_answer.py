"""Define the stored form of an answer."""

import msgspec


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Small answer that is stored to serve resends of the same request.

    Attributes
    ----------
    status : int
    content_type : str
    body : bytes
    """

    status: int
    content_type: str
    body: bytes
