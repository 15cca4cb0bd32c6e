"""Name who reads an answer."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AnswerReader:
    """Name who reads an answer.

    Attributes
    ----------
    node_id : str
        Of the entry.
    address : str
        Its mailbox.
    attempt : int
        Number that frames to it carry.
    """

    node_id: str
    address: str
    attempt: int
