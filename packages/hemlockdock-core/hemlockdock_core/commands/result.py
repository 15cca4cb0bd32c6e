"""Result of a command."""

import msgspec

from hemlockdock_core.errors import Refusal


class CommandResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of a command.

    Attributes
    ----------
    revision : int
        Revision of the state after the command; 0 if it was refused before it was committed.
    refusal : Refusal or None
        Set if the command was refused and changed nothing.
    state : str
        State of the record after a run-once or job command.
    payload : bytes
        Stored response, job result or job body, if the command returns one.
    owner : str
        Node id of the entry that owns the run-once record or job.
    stream_id : str
        Id of the stream from which a running or finished response can be read, if any.
    """

    revision: int
    refusal: Refusal | None = None
    state: str = ""
    payload: bytes = b""
    owner: str = ""
    stream_id: str = ""
