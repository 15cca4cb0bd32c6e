"""Decide how a request proceeds after its run-once claim."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from hemlockdock_core.commands import RunState
from hemlockdock_core.errors import Refusal
from hemlockdock_entry.run_once.stored_answer import StoredAnswer
from hemlockdock_entry.streams import StreamPosition


class ClaimStep(Enum):
    """What a request does after its claim."""

    RUN = "run"
    JOIN = "join"
    ANSWER = "answer"
    RECOVER_RAN = "recover_ran"
    RECOVER_UNKNOWN = "recover_unknown"
    CLAIM_AGAIN = "claim_again"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class ClaimOutcome:
    """Result of a claim, as it concerns the request.

    Attributes
    ----------
    step : ClaimStep
    position : StreamPosition or None
        Where the answer can be read, if known.
    answer : StoredAnswer or None
    refusal : Refusal or None
    """

    step: ClaimStep
    position: StreamPosition | None = None
    answer: StoredAnswer | None = None
    refusal: Refusal | None = None


def decide_claim(result, owner, stream_id):
    """Decide how a request proceeds from the result of its claim.

    Parameters
    ----------
    result : CommandResult
    owner : str
        Node id of this entry.
    stream_id : str
        Stream id of this claim, which no other claim shares.

    Returns
    -------
    ClaimOutcome
    """
    if result.refusal is not None:
        return ClaimOutcome(ClaimStep.REFUSE, refusal=result.refusal)
    position = StreamPosition.parse(result.stream_id)
    if result.state == RunState.CLAIMED:
        if result.owner == owner and result.stream_id == stream_id:
            return ClaimOutcome(ClaimStep.RUN)
        return ClaimOutcome(ClaimStep.JOIN, position)
    if result.state == RunState.RAN:
        if result.payload:
            answer = msgspec.msgpack.decode(result.payload, type=StoredAnswer)
            return ClaimOutcome(ClaimStep.ANSWER, position, answer)
        return ClaimOutcome(ClaimStep.RECOVER_RAN, position)
    if result.state == RunState.UNKNOWN:
        return ClaimOutcome(ClaimStep.RECOVER_UNKNOWN, position)
    return ClaimOutcome(ClaimStep.CLAIM_AGAIN)
