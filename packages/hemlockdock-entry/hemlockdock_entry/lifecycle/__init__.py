"""Follow each request from its receipt to its one end."""

from hemlockdock_entry.lifecycle.ledger import Ledger
from hemlockdock_entry.lifecycle.machine import LifeCore, start_life

__all__ = ["Ledger", "LifeCore", "start_life"]
