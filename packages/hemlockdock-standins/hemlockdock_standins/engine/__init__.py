"""Stand-in for a model engine, over real HTTP."""

from hemlockdock_standins.engine.engine import StandInEngine
from hemlockdock_standins.engine.generation import answer_body, stream_body, token_texts
from hemlockdock_standins.engine.ledger import StandInLedger
from hemlockdock_standins.engine.options import EngineOptions

__all__ = [
    "EngineOptions",
    "StandInEngine",
    "StandInLedger",
    "answer_body",
    "stream_body",
    "token_texts",
]
