"""Messages about the demand for models."""

from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message


class ModelTraffic(msgspec.Struct, frozen=True, array_like=True):
    """Traffic of one model at one node.

    Attributes
    ----------
    model : str
    arrivals : int
        Requests received since the process started.
    waiting : int
    in_flight : int
    """

    model: str
    arrivals: int
    waiting: int
    in_flight: int


class Wish(Message, frozen=True):
    """Request for a replica of a model. Sent by an entry to control.

    Resent while requests wait for the model; control treats repeats as one request.

    Attributes
    ----------
    model : str
    adapter : str
        Adapter that the replica must have; empty for the base model.
    waiting : int
    earliest_deadline_ms : int
        Time until the earliest deadline of the waiting requests, in milliseconds.
    priority : int
    """

    expects_answer: ClassVar[bool] = False

    model: str
    adapter: str
    waiting: int
    earliest_deadline_ms: int
    priority: int
