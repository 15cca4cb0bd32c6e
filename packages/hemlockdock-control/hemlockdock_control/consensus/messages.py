"""Messages between members."""

from typing import ClassVar

from hemlockdock_control.consensus.configuration import Configuration
from hemlockdock_control.consensus.entry import LogEntry
from hemlockdock_control.storage.identity import MembershipOrigin
from hemlockdock_core.messages.codec import Codec
from hemlockdock_core.messages.message import Message


class VoteRequest(Message, frozen=True):
    """Request for a vote or a pre-vote.

    Attributes
    ----------
    term : int
        Term in which the candidate wants to lead.
    pre : bool
        Whether this is a pre-vote, which changes no term and no vote.
    last_index : int
    last_term : int
    transfer : bool
        Whether the leader asked for this election, so that its lease is no reason to refuse.
    """

    term: int
    pre: bool
    last_index: int
    last_term: int
    transfer: bool


class VoteReply(Message, frozen=True):
    """Reply to a vote request.

    Attributes
    ----------
    term : int
        The voter's own term.
    request_term : int
    pre : bool
    granted : bool
    folder_id : str
        Identity of the voter's folder. If the candidate's configuration has another one, the
        folder was emptied in the meantime and the vote does not count.
    """

    expects_answer: ClassVar[bool] = False

    term: int
    request_term: int
    pre: bool
    granted: bool
    folder_id: str


class AppendRequest(Message, frozen=True):
    """Log entries from the leader; without entries it is a heartbeat.

    Attributes
    ----------
    term : int
    sent_ms : float
        Time of the leader's clock, returned in the reply so that the lease starts at the sending.
    previous_index : int
    previous_term : int
    commit_index : int
    entries : tuple of LogEntry
    """

    term: int
    sent_ms: float
    previous_index: int
    previous_term: int
    commit_index: int
    entries: tuple[LogEntry, ...] = ()


class AppendReply(Message, frozen=True):
    """Reply to an append request or to the last chunk of a snapshot.

    Attributes
    ----------
    term : int
    sent_ms : float
        As in the request.
    accepted : bool
    index : int
        If accepted, the last index up to which the log equals the leader's; otherwise the
        previous index of the request.
    conflict_term : int
        Term of the entry at the previous index; 0 if the log ends before it.
    conflict_index : int
        First index of that term, or one past the end of the log.
    """

    expects_answer: ClassVar[bool] = False

    term: int
    sent_ms: float
    accepted: bool
    index: int
    conflict_term: int = 0
    conflict_index: int = 0


class SnapshotChunk(Message, frozen=True):
    """One chunk of a snapshot.

    Attributes
    ----------
    term : int
    sent_ms : float
    index : int
        Last index that the snapshot includes.
    index_term : int
    configuration : Configuration
    offset : int
    data : bytes
    last : bool
    """

    term: int
    sent_ms: float
    index: int
    index_term: int
    configuration: Configuration
    offset: int
    data: bytes
    last: bool


class SnapshotReply(Message, frozen=True):
    """Reply to a chunk of a snapshot; asks for the next one.

    Attributes
    ----------
    term : int
    sent_ms : float
    index : int
        The snapshot's last index.
    offset : int
        Number of bytes received so far.
    """

    expects_answer: ClassVar[bool] = False

    term: int
    sent_ms: float
    index: int
    offset: int


class TimeoutNow(Message, frozen=True):
    """Asks a member to start an election at once.

    Attributes
    ----------
    term : int
    silent_ms_by_id : dict of str to float
        Time since the last reply of each member that has not replied within an election timeout,
        so that the new leader does not begin to wait for them anew.
    """

    term: int
    silent_ms_by_id: dict[str, float] = {}


class Hello(Message, frozen=True):
    """Announces a member to others, for cluster formation and discovery.

    Attributes
    ----------
    cluster : str
    folder_id : str
    address : str
        Address at which the sender receives messages from other members.
    standing : MembershipOrigin
    founders : Configuration
        Founding members of the cluster; those listed in the sender's settings while its folder
        is unused, and empty for joiners.
    want_reply : bool
    members : Configuration
        Current members as known to the sender; sent only in a fleet.
    committed_index : int
        Log index up to which the sender knows them to be committed; 0 if they are not.
    leaving : bool
        Whether the sender's process stops and its place is to be taken by another member.
    """

    cluster: str
    folder_id: str
    address: str
    standing: MembershipOrigin
    founders: Configuration
    want_reply: bool
    members: Configuration = Configuration()
    committed_index: int = 0
    leaving: bool = False


class Forward(Message, frozen=True):
    """Opaque bytes that the layer above sends to another member.

    Attributes
    ----------
    data : bytes
    """

    data: bytes


PeerMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | TimeoutNow
    | Hello
    | Forward
)

PEER_CODEC = Codec(PeerMessage)
