"""Define the receiver of an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnswerReader:
    """Identify the entry that receives an answer.

    Attributes
    ----------
    node_id : str
        Node id of the entry.
    address : str
        Mailbox address of the entry.
    attempt : int
        Attempt number that the frames to the entry carry.
    """

    node_id: str
    address: str
    attempt: int
