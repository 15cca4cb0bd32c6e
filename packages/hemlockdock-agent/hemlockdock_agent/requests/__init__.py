"""Admit requests to one engine and forward its responses."""

from hemlockdock_agent.requests.answer_reader import AnswerReader
from hemlockdock_agent.requests.gate import RequestGate
from hemlockdock_agent.requests.gate_view import GateView
from hemlockdock_agent.requests.run import Run

__all__ = ["AnswerReader", "GateView", "RequestGate", "Run"]
