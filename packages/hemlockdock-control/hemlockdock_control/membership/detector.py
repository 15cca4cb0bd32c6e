"""Decide what to record about nodes from heartbeats and the platform's list."""

from dataclasses import dataclass

from hemlockdock_control.membership.platform_list import HostState
from hemlockdock_control.state.nodes import PLATFORM
from hemlockdock_core.commands import NodeLeaving, NodeLost, RegisterNode

AGENT = "agent"
# What a node takes to notice that its member is silent, and to be heard by way of another.
HEARTBEATS_TO_MOVE = 6


@dataclass(slots=True)
class MembershipView:
    """Hold what membership is decided from.

    Attributes
    ----------
    record_by_id : dict of str to NodeRecord
        Committed nodes.
    heard_by_id : dict of str to HeardNode
    state_by_host : dict of str to HostState
        The platform's list; empty where there is none.
    silent_since_ms : float
        When this member began to lead, by the silence clock; silence is counted from then at
        the earliest.
    silent_members : set of str
        Control members that the leader does not hear; nodes that talk to them are on their way
        to another one.
    now_ms : float
        By the silence clock.
    at_ms : int
        Wall clock, in milliseconds since 1970.
    """

    record_by_id: dict
    heard_by_id: dict
    state_by_host: dict
    silent_since_ms: float
    silent_members: set
    now_ms: float
    at_ms: int


def membership_commands(view, settings):
    """Return the commands that bring the committed nodes up to date.

    Parameters
    ----------
    view : MembershipView
    settings : hemlockdock_core.settings.MembershipSection

    Returns
    -------
    list of Command
    """
    commands = []
    for heard in view.heard_by_id.values():
        command = _registration(view, heard, settings)
        if command is not None:
            commands.append(command)
    registered = {command.info.node_id for command in commands}
    for node_id, record in view.record_by_id.items():
        if node_id in registered:
            continue
        command = _departure(view, record, settings)
        if command is not None:
            commands.append(command)
    return commands


def silence_ms(view, node_id, incarnation):
    """Return how long a node's incarnation was not heard, in milliseconds.

    Parameters
    ----------
    view : MembershipView
    node_id : str
    incarnation : int

    Returns
    -------
    float
    """
    heard = view.heard_by_id.get(node_id)
    heard_ms = view.silent_since_ms
    if heard is not None and heard.incarnation >= incarnation:
        heard_ms = max(heard_ms, heard.heard_ms)
    return view.now_ms - heard_ms


def _registration(view, heard, settings):
    if heard.info is None or heard.info.node_id != heard.node_id:
        return None
    if view.now_ms - heard.heard_ms >= settings.lost_after_ms:
        return None
    record = view.record_by_id.get(heard.node_id)
    command = RegisterNode(heard.info, heard.incarnation, view.at_ms)
    if record is None or heard.incarnation > record.incarnation:
        return command
    if heard.incarnation < record.incarnation:
        return None
    if record.gone and record.info.role == AGENT:
        return None
    host_is_live = view.state_by_host.get(record.info.host) is HostState.LIVE
    returned = record.leaving_source == PLATFORM and host_is_live and not heard.leaving
    if record.lost or record.info != heard.info or returned:
        return command
    return None


def _departure(view, record, settings):
    node_id = record.info.node_id
    if record.gone:
        return None
    silent_ms = silence_ms(view, node_id, record.incarnation)
    host_state = view.state_by_host.get(record.info.host)
    if silent_ms >= _lost_after_ms(view, node_id, settings):
        # The list lags, so it confirms a silence but never overrules a heartbeat. By itself,
        # silence is certain only once an agent that was heard later than here has unloaded too.
        certain_ms = settings.certain_after_ms + settings.lost_after_ms
        certain = host_state is HostState.GONE or silent_ms >= certain_ms
        if certain or not record.lost:
            return NodeLost(node_id, record.incarnation, view.at_ms, certain)
        return None
    if record.leaving:
        return None
    heard = view.heard_by_id.get(node_id)
    if heard is not None and heard.leaving and heard.incarnation == record.incarnation:
        return NodeLeaving(node_id, view.at_ms, AGENT)
    if host_state in (HostState.LEAVING, HostState.GONE):
        return NodeLeaving(node_id, view.at_ms, PLATFORM)
    return None


def _lost_after_ms(view, node_id, settings):
    heard = view.heard_by_id.get(node_id)
    if heard is None or heard.via not in view.silent_members:
        return settings.lost_after_ms
    # The loss of a control host must not look like the loss of the nodes that talked to it.
    return settings.lost_after_ms + HEARTBEATS_TO_MOVE * settings.heartbeat_ms
