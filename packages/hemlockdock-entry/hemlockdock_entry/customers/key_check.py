"""Check whether a request may be served with the key that it was sent with."""

from dataclasses import dataclass
from enum import StrEnum

from hemlockdock_core.rows import CustomerRow


class KeyResult(StrEnum):
    """Result of the check of a request's key."""

    NOT_REQUIRED = "not_required"
    KNOWN = "known"
    PUBLIC = "public"
    MISSING = "missing"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class KeyCheck:
    """Result of the check of a request's key, and the customer to whom the key belongs.

    Attributes
    ----------
    result : KeyResult
    customer : CustomerRow or None
    """

    result: KeyResult
    customer: CustomerRow | None = None

    @property
    def refuses(self):
        """Return whether the request is not served."""
        return self.result in (KeyResult.MISSING, KeyResult.UNKNOWN)


def check_key(customers, route, key):
    """Check the key of a request.

    Parameters
    ----------
    customers : CustomerIndex
    route : RouteRow
    key : bytes
        Empty if the request has none.

    Returns
    -------
    KeyCheck
    """
    if not customers.requires_keys:
        return KeyCheck(KeyResult.NOT_REQUIRED)
    customer = customers.find(key)
    if customer is not None:
        return KeyCheck(KeyResult.KNOWN, customer)
    if route.is_public:
        return KeyCheck(KeyResult.PUBLIC)
    return KeyCheck(KeyResult.UNKNOWN if key else KeyResult.MISSING)
