"""Define the messages between members outside the replicated log."""

import logging

import msgspec

from hemlockdock_control.membership import NodeHeartbeat
from hemlockdock_core.commands import Command, CommandResult
from hemlockdock_core.foreign import UndecodableError, decode_foreign
from hemlockdock_core.messages import CrashReport, Inventory, Leaving, OrderResult, Wish
from hemlockdock_core.messages.message import Message
from hemlockdock_core.metrics import COUNTERS

logger = logging.getLogger(__name__)

Relayed = Wish | OrderResult | Inventory | Leaving | CrashReport


class BeatDigest(Message, frozen=True):
    """Carry the heartbeats that a follower received since its last digest.

    Attributes
    ----------
    sequence : int
    beats : list of NodeHeartbeat
    """

    sequence: int
    beats: list[NodeHeartbeat]


class DigestAck(Message, frozen=True):
    """Acknowledge a follower's digest.

    Attributes
    ----------
    sequence : int
    """

    sequence: int


class RelayedMessage(Message, frozen=True):
    """Carry a node's message to the leader.

    Attributes
    ----------
    sender : str
    incarnation : int
    body : Relayed
    """

    sender: str
    incarnation: int
    body: Relayed


class RelayedCommand(Message, frozen=True):
    """Ask the leader to commit a command.

    Attributes
    ----------
    ticket : str
        Matches the answer to this request.
    command : Command
    """

    ticket: str
    command: Command


class RelayedQuery(Message, frozen=True):
    """Ask the leader for a page of the operators' API.

    Attributes
    ----------
    ticket : str
    name : str
    arguments : dict of str to str
    """

    ticket: str
    name: str
    arguments: dict[str, str]


class RelayedAnswer(Message, frozen=True):
    """Answer a relayed command or query.

    Attributes
    ----------
    ticket : str
    result : CommandResult
        For a query, the payload is the page's JSON.
    """

    ticket: str
    result: CommandResult


PeerBody = BeatDigest | DigestAck | RelayedMessage | RelayedCommand | RelayedQuery | RelayedAnswer

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(PeerBody)


def encode_peer(body):
    """Encode a message to another member.

    Parameters
    ----------
    body : PeerBody

    Returns
    -------
    bytes
    """
    return _ENCODER.encode(body)


def decode_peer(data):
    """Decode a message from another member.

    Parameters
    ----------
    data : bytes

    Returns
    -------
    PeerBody or None
        None if the bytes are malformed, which is counted and logged.
    """
    try:
        return decode_foreign(_DECODER, data)
    except UndecodableError as error:
        COUNTERS.increment("control_malformed_forwards")
        logger.warning("malformed message from member", extra={"problem": str(error)})
        return None
