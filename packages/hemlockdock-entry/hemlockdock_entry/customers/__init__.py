"""Customers: who sends a request, in which order requests are served, and their quotas."""

from hemlockdock_entry.customers.customer_directory import CustomerDirectory
from hemlockdock_entry.customers.customer_index import CustomerIndex
from hemlockdock_entry.customers.key_check import KeyCheck, KeyResult, check_key
from hemlockdock_entry.customers.quota_client import QuotaClient
from hemlockdock_entry.customers.request_key import RequestKey
from hemlockdock_entry.customers.urgency_ranks import NO_CUSTOMER_URGENCY

__all__ = [
    "NO_CUSTOMER_URGENCY",
    "CustomerDirectory",
    "CustomerIndex",
    "KeyCheck",
    "KeyResult",
    "QuotaClient",
    "RequestKey",
    "check_key",
]
