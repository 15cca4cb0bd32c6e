"""Reassemble response streams and number their events."""

from hemlockdock_entry.streams.assembler import Assembler, AssemblyAction, AssemblyResult
from hemlockdock_entry.streams.event_id_inserter import EventIdInserter
from hemlockdock_entry.streams.stream_id import StreamPosition

__all__ = ["AssemblyResult", "Assembler", "EventIdInserter", "AssemblyAction", "StreamPosition"]
