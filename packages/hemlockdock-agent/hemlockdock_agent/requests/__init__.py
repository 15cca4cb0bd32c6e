"""Admit requests to one engine and relay their answers."""

from hemlockdock_agent.requests.consumer import Consumer
from hemlockdock_agent.requests.gate import RequestGate
from hemlockdock_agent.requests.gate_view import GateView
from hemlockdock_agent.requests.run import Run

__all__ = ["Consumer", "GateView", "RequestGate", "Run"]
