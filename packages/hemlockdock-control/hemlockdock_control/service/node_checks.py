"""Check what nodes say before anything is made of it."""

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
    """Return what is wrong with a node's frame, empty for nothing.

    Parameters
    ----------
    frame : Frame

    Returns
    -------
    str
    """
    if not NAME_PATTERN.match(frame.sender):
        return "sender"
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
        return "node id or role"
    if not 0 <= info.memory_mb <= MAX_MEMORY_MB:
        return "memory"
    try:
        check_link(info.address)
    except ValueError:
        return "address"
    return "" if info.address else "address"


@_problem.register
def _(body: Inventory, frame):
    if len(body.loaded) > MAX_LOADED:
        return "number of loaded models"
    if any(not 0 <= item.memory_mb <= MAX_MEMORY_MB for item in body.loaded):
        return "memory"
    return ""


@_problem.register
def _(body: Proposal, frame):
    command = body.command
    if isinstance(command, ClaimRun | SubmitJob):
        # Beyond this the state would hold numbers that no snapshot can hold.
        return "" if 0 <= command.retention_s <= MAX_RETENTION_S else "retention"
    return ""
