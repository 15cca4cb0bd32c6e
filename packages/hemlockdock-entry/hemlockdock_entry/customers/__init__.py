"""Customers: which of them sends a request, and in which order their requests are served."""

from hemlockdock_entry.customers.customer_directory import CustomerDirectory
from hemlockdock_entry.customers.customer_index import CustomerIndex
from hemlockdock_entry.customers.key_check import KeyCheck, KeyResult, check_key
from hemlockdock_entry.customers.request_key import RequestKey
from hemlockdock_entry.customers.urgency_ranks import NO_CUSTOMER_URGENCY

__all__ = [
    "NO_CUSTOMER_URGENCY",
    "CustomerDirectory",
    "CustomerIndex",
    "KeyCheck",
    "KeyResult",
    "RequestKey",
    "check_key",
]
