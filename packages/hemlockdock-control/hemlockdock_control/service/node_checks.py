"""Validate messages from nodes before they are handled."""

import re
from functools import singledispatch

from hemlockdock_core.commands import ClaimRun, SubmitJob
from hemlockdock_core.messages import Heartbeat, Inventory, Proposal
from hemlockdock_core.settings.types import check_link

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$")
ROLES = frozenset({"entry", "agent"})
MAX_MEMORY_MB = 100_000_000
MAX_RETENTION_S = 90 * 86_400
MAX_LOADED = 10_000


def frame_problem(frame):
    """Return which part of a node's frame is invalid, or an empty string.

    Parameters
    ----------
    frame : Frame

    Returns
    -------
    str
    """
    if not NAME_PATTERN.match(frame.sender):
        return "invalid sender id"
    return _problem(frame.body, frame)


@singledispatch
def _problem(body, frame):
    return ""


@_problem.register
def _(body: Heartbeat, frame):
    info = body.info
    if info is None:
        return ""
    if info.node_id != frame.sender or info.role not in ROLES:
        return "invalid node id or role"
    if not 0 <= info.memory_mb <= MAX_MEMORY_MB:
        return "invalid memory size"
    try:
        check_link(info.address)
    except ValueError:
        return "invalid address"
    return "" if info.address else "missing address"


@_problem.register
def _(body: Inventory, frame):
    if len(body.loaded) > MAX_LOADED:
        return "too many loaded models"
    if any(not 0 <= item.memory_mb <= MAX_MEMORY_MB for item in body.loaded):
        return "invalid memory size"
    return ""


@_problem.register
def _(body: Proposal, frame):
    command = body.command
    if isinstance(command, ClaimRun | SubmitJob):
        # Larger values could not be encoded in a snapshot.
        return "" if 0 <= command.retention_s <= MAX_RETENTION_S else "invalid retention"
    return ""
