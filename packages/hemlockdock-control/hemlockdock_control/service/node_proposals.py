"""Commit the commands that nodes propose, and answer the nodes."""

from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import ProposalResult


class NodeProposals:
    """Commit the commands that nodes propose, each once at a time.

    Parameters
    ----------
    proposer : Proposer
    send : callable
        Takes an address and a message.
    proposable : tuple of type
        Commands that nodes may propose.
    """

    def __init__(self, proposer, send, proposable):
        self._proposer = proposer
        self._send = send
        self._proposable = proposable
        self._open_proposals = set()

    def on_proposal(self, proposal, reply_to):
        """Commit a proposed command, or refuse one that nodes may not propose.

        Parameters
        ----------
        proposal : Proposal
        reply_to : str
            Address of the node.
        """
        if not isinstance(proposal.command, self._proposable):
            refusal = Refusal.of(ErrorKind.BAD_REQUEST, "nodes may not propose this command")
            self._answer(CommandResult(0, refusal), proposal.proposal_id, reply_to)
            return
        key = (reply_to, proposal.proposal_id)
        if key in self._open_proposals:
            return
        self._open_proposals.add(key)
        outcome = self._proposer.propose(proposal.command)
        outcome.addCallback(self._proposed, proposal.proposal_id, reply_to)

    def _proposed(self, result, proposal_id, reply_to):
        self._open_proposals.discard((reply_to, proposal_id))
        refusal = result.refusal
        if refusal is not None and refusal.kind is ErrorKind.OUTCOME_UNKNOWN:
            # The node repeats the proposal, which is idempotent, and gets the outcome then.
            return
        self._answer(result, proposal_id, reply_to)

    def _answer(self, result, proposal_id, reply_to):
        if reply_to:
            self._send(reply_to, ProposalResult(proposal_id, result))
