"""Number the starts of an agent, and limit each engine to one agent."""

from hemlockdock_agent.lifecycle.engine_lock import EngineLock, EngineLockedError
from hemlockdock_agent.lifecycle.incarnation import next_incarnation

__all__ = ["EngineLock", "EngineLockedError", "next_incarnation"]
