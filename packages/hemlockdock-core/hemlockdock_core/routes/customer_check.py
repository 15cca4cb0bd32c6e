"""Validation of the customers of a route manifest."""

from dataclasses import dataclass
from math import isfinite

from hemlockdock_core.customer_keys import key_digest
from hemlockdock_core.errors import FieldError

EMPTY_KEY_DIGEST = key_digest(b"")


@dataclass(frozen=True, slots=True)
class CustomerFields:
    """Names of the fields of customers in a format of route manifests.

    Attributes
    ----------
    customers, name, keys : str
    per_s, burst, default_tokens : str
        Fields of the quota.
    """

    customers: str = "customers"
    name: str = "name"
    keys: str = "key_digests"
    per_s: str = "quota.per_s"
    burst: str = "quota.burst"
    default_tokens: str = "quota.default_tokens"


def customer_errors(customers, source, fields):
    """Return all invalid fields of customers; no error contains a key or its digest.

    Parameters
    ----------
    customers : iterable of CustomerRow
    source : str
        Name of the input in error messages.
    fields : CustomerFields

    Returns
    -------
    list of FieldError
    """
    errors = []
    names = set()
    position_by_digest = {}
    for position, customer in enumerate(customers):
        path = f"{fields.customers}[{position}]"
        if not _is_header_value(customer.name):
            expected = "a name that is not empty and has no control characters"
            errors.append(FieldError(source, f"{path}.{fields.name}", expected))
        elif customer.name in names:
            expected = f"a name of its own: {customer.name!r}"
            errors.append(FieldError(source, f"{path}.{fields.name}", expected))
        names.add(customer.name)
        for index, digest in enumerate(customer.key_digests):
            key_path = f"{path}.{fields.keys}[{index}]"
            if digest in ("", EMPTY_KEY_DIGEST):
                errors.append(FieldError(source, key_path, "a key that is not empty"))
                continue
            owner = position_by_digest.setdefault(digest, position)
            if owner != position:
                expected = f"another key than those of {fields.customers}[{owner}]"
                errors.append(FieldError(source, key_path, expected))
        errors.extend(_quota_errors(customer.quota, source, path, fields))
    return errors


def _quota_errors(quota, source, path, fields):
    if quota is None:
        return
    value_by_name = {
        fields.per_s: quota.per_s,
        fields.burst: quota.burst,
        fields.default_tokens: quota.default_tokens,
    }
    for name, value in value_by_name.items():
        if not isfinite(value) or value < 0:
            yield FieldError(source, f"{path}.{name}", "a finite number that is not below 0")


def _is_header_value(name):
    """Return whether endpoints can be sent a name in a header."""
    return bool(name.strip()) and not any(ord(letter) < 0x20 or letter == "\x7f" for letter in name)
