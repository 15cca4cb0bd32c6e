"""Carry answers to callers whole and in order."""

from hemlockdock_entry.streams.assembler import Assembled, Assembler, Step
from hemlockdock_entry.streams.event_marker import EventMarker
from hemlockdock_entry.streams.stream_id import StreamPlace

__all__ = ["Assembled", "Assembler", "EventMarker", "Step", "StreamPlace"]
