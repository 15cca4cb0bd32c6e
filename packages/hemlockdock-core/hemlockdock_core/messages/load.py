"""Messages about the load of a fleet's endpoints."""

import zlib
from typing import ClassVar

import msgspec

from hemlockdock_core.messages.message import Message

# Interval between load summaries.
SUMMARY_INTERVAL_S = 0.4


class EndpointLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of one endpoint, as its engine reported it.

    Attributes
    ----------
    key : int
        See ``load_key``.
    running : int
    waiting : int
        Number of requests that wait for a slot.
    cache_used_percent : int
        Tokens in the cache that can't be evicted, as a percentage of its capacity.
    speed_milli : int
        Thousandths of an event that a running request makes per second; 0 if not known.
    age_ms : int
        Time since the engine's report, in milliseconds.
    """

    key: int
    running: int
    waiting: int
    cache_used_percent: int
    speed_milli: int
    age_ms: int


class LoadSummary(Message, frozen=True):
    """Loads of some endpoints. Sent by the leader to entries.

    Attributes
    ----------
    loads : tuple of EndpointLoad
    """

    expects_answer: ClassVar[bool] = False

    loads: tuple[EndpointLoad, ...]


def load_key(endpoint_id):
    """Return the number that stands for an endpoint in load summaries.

    It is 32 bits long, as ids would take half of a summary. Of two endpoints with the same number,
    which is rare, no load is known.

    Parameters
    ----------
    endpoint_id : str

    Returns
    -------
    int
    """
    return zlib.crc32(endpoint_id.encode())
