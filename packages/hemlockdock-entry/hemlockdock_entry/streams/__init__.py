"""Reassemble response streams and number their events."""

from hemlockdock_entry.streams.assembler import Assembler, AssemblyResult, Step
from hemlockdock_entry.streams.event_id_inserter import EventIdInserter
from hemlockdock_entry.streams.stream_id import StreamPlace

__all__ = ["AssemblyResult", "Assembler", "EventIdInserter", "Step", "StreamPlace"]
