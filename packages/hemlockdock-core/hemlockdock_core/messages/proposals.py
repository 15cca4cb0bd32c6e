"""Messages that propose a command for the replicated log."""

from typing import ClassVar

from hemlockdock_core.commands import Command, CommandResult
from hemlockdock_core.messages.message import Message


class Proposal(Message, frozen=True):
    """Request to commit a command. Sent by a node to any control member.

    Attributes
    ----------
    proposal_id : str
        Unique id; a resent proposal gets the same result.
    command : Command
    """

    proposal_id: str
    command: Command


class ProposalResult(Message, frozen=True):
    """Result of a proposal. Sent by control to a node.

    Attributes
    ----------
    proposal_id : str
    result : CommandResult
    """

    expects_answer: ClassVar[bool] = False

    proposal_id: str
    result: CommandResult
