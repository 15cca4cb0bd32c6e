"""Ask for models that requests wait for."""

import msgspec

from hemlockdock_core.messages.message import Message


class ModelLoad(msgspec.Struct, frozen=True, array_like=True):
    """Report one model's traffic as one node sees it.

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
    """Ask for a replica of a model that requests wait for. Entry to control.

    Sent again while requests wait; control treats repeats as the same wish.

    Attributes
    ----------
    model : str
    adapter : str
        Adapter wanted on the replica; empty for the base model.
    waiting : int
    earliest_deadline_ms : int
        Time left for the most urgent waiting request, in milliseconds.
    priority : int
    """

    model: str
    adapter: str
    waiting: int
    earliest_deadline_ms: int
    priority: int
