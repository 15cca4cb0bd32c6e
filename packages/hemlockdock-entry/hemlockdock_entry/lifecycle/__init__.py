"""Track each request from its receipt to its end."""

from hemlockdock_entry.lifecycle.ledger import RequestCounts
from hemlockdock_entry.lifecycle.state_machine import RequestLifecycleCore, start_lifecycle

__all__ = ["RequestCounts", "RequestLifecycleCore", "start_lifecycle"]
