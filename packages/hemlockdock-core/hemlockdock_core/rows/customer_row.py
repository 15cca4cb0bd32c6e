"""Routing table row of a customer."""

import msgspec

from hemlockdock_core.rows.base import BaseRow


class TokenQuota(msgspec.Struct, frozen=True, array_like=True):
    """What a customer may use over all entries together.

    Attributes
    ----------
    per_s : float
        Tokens per second.
    burst : float
        Tokens that may be used at once after a pause.
    default_tokens : float
        Tokens of a request that does not state its own.
    counts_tokens : bool
        Whether requests are counted by the tokens that they state; otherwise all count
        ``default_tokens``.
    """

    per_s: float
    burst: float
    default_tokens: float
    counts_tokens: bool = True


class CustomerRow(BaseRow, frozen=True):
    """A customer, with the keys by which its requests are known.

    Attributes
    ----------
    name : str
    key_digests : tuple of str
        Digests of its keys, see `key_digest`; the keys themselves are not replicated to entries.
    urgency : int
        Compared before the urgency of the route; 0 is the highest urgency.
    quota : TokenQuota or None
        None, or a rate of 0, means no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    urgency: int = 0
    quota: TokenQuota | None = None

    @property
    def key(self):
        """Return the row's key in the routing table."""
        return f"customer/{self.name}"
