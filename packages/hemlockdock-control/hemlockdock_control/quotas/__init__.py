"""Quotas of tokens that customers may use over all entries of a fleet together."""

from hemlockdock_control.quotas.quota_ledger import QuotaLedger

__all__ = ["QuotaLedger"]
