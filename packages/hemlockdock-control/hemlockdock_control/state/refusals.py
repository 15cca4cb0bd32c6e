"""Make the results that commands end with."""

from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, Refusal


def refused(index, kind, message, **fields):
    """Return the result of a command that changed nothing.

    Parameters
    ----------
    index : int
    kind : ErrorKind
    message : str
    **fields
        Further fields of CommandResult.

    Returns
    -------
    CommandResult
    """
    return CommandResult(index, Refusal.of(kind, message), **fields)


def conflict(index, message):
    """Return the result of a command that the state has overtaken.

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
    """Return the result of a command from an older incarnation.

    Parameters
    ----------
    index : int
    message : str

    Returns
    -------
    CommandResult
    """
    return refused(index, ErrorKind.STALE_REVISION, message)
