"""Store answers for callers that reconnect."""

from hemlockdock_agent.answers.buffer import AnswerBuffer
from hemlockdock_agent.answers.store import AnswerStore

__all__ = ["AnswerBuffer", "AnswerStore"]
