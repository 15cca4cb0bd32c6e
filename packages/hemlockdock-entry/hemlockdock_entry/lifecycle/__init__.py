"""Track each request from its receipt to its end."""

from hemlockdock_entry.lifecycle.ledger import Ledger
from hemlockdock_entry.lifecycle.state_machine import RequestLifecycleCore, start_life

__all__ = ["Ledger", "RequestLifecycleCore", "start_life"]
