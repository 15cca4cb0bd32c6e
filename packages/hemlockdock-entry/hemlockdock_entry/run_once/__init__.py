"""Support requests that must run at most once."""

from hemlockdock_entry.run_once.answer_recorder import AnswerRecorder
from hemlockdock_entry.run_once.decision import ClaimOutcome, ClaimStep, decide_claim
from hemlockdock_entry.run_once.stored_answer import StoredAnswer

__all__ = ["AnswerRecorder", "ClaimOutcome", "ClaimStep", "StoredAnswer", "decide_claim"]
