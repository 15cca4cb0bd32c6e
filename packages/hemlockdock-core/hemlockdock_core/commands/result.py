"""Answer a committed command."""

import msgspec

from hemlockdock_core.errors import Refusal


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """Answer a committed command.

    Attributes
    ----------
    revision : int
        State revision after the command; 0 where it was refused before being committed.
    refusal : Refusal or None
        Set where the command changed nothing.
    state : str
        For run-once and job commands: the record's state after the command.
    payload : bytes
        Stored answer, job result or job body, where the command returns one.
    owner : str
        Node id that holds the run-once record or job.
    stream_id : str
        Where a running or finished answer can be read from, if anywhere.
    """

    revision: int
    refusal: Refusal | None = None
    state: str = ""
    payload: bytes = b""
    owner: str = ""
    stream_id: str = ""
