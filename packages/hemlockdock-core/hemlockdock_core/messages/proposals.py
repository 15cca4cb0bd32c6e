"""Ask the quorum to commit a command."""

from hemlockdock_core.commands import Command, CommandResult
from hemlockdock_core.messages.message import Message


class Proposal(Message, frozen=True):
    """Ask for a command to be committed. Node to any control member.

    Attributes
    ----------
    proposal_id : str
        Unique; a repeat gets the same result.
    command : Command
    """

    proposal_id: str
    command: Command


class ProposalResult(Message, frozen=True):
    """Answer a proposal. Control to node.

    Attributes
    ----------
    proposal_id : str
    result : CommandResult
    """

    proposal_id: str
    result: CommandResult
