"""Results of refused commands."""

from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, Refusal


def refused(index, kind, message, **fields):
    """Return the result of a refused command.

    Parameters
    ----------
    index : int
    kind : ErrorKind
    message : str
    **fields
        Additional fields of CommandResult.

    Returns
    -------
    CommandResult
    """
    return CommandResult(index, Refusal.of(kind, message), **fields)


def conflict(index, message):
    """Return the result of a command that conflicts with the current state.

    Parameters
    ----------
    index : int
    message : str

    Returns
    -------
    CommandResult
    """
    return refused(index, ErrorKind.CONFLICT, message)


def stale(index, message):
    """Return the result of a command from a stale incarnation.

    Parameters
    ----------
    index : int
    message : str

    Returns
    -------
    CommandResult
    """
    return refused(index, ErrorKind.STALE_REVISION, message)
