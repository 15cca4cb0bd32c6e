"""What an entry knows of customers' use."""

from hemlockdock_entry.customers.quota_accounts import QuotaAccounts

__all__ = ["QuotaAccounts"]
