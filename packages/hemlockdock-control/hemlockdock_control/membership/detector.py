"""Detect changes of nodes from heartbeats and the platform's host list."""

from dataclasses import dataclass

from hemlockdock_control.membership.platform_list import HostState
from hemlockdock_control.state.nodes import PLATFORM
from hemlockdock_core.commands import NodeLeaving, NodeLost, RegisterNode

AGENT = "agent"
# Heartbeats that a node takes to notice that its member is silent and to reach another one.
HEARTBEATS_TO_SWITCH_MEMBER = 6


@dataclass(slots=True)
class MembershipView:
    """Hold the input for decisions on membership.

    Attributes
    ----------
    record_by_id : dict of str to NodeRecord
        Committed nodes.
    heard_by_id : dict of str to HeardNode
    state_by_host : dict of str to HostState
        The platform's host list; empty if there is none.
    leading_since_ms : float
        When this member became leader, by the silence clock; silence counts from then at the
        earliest.
    silent_members : set of str
        Control members that the leader does not hear; nodes connected to them are moving to
        another member.
    now_ms : float
        By the silence clock.
    at_ms : int
        Wall clock, in milliseconds since 1970.
    """

    record_by_id: dict
    heard_by_id: dict
    state_by_host: dict
    leading_since_ms: float
    silent_members: set
    now_ms: float
    at_ms: int


def membership_commands(view, settings):
    """Return the commands that update the committed nodes.

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
        command = _registration_command(view, heard, settings)
        if command is not None:
            commands.append(command)
    registered = {command.info.node_id for command in commands}
    for node_id, record in view.record_by_id.items():
        if node_id in registered:
            continue
        command = _departure_command(view, record, settings)
        if command is not None:
            commands.append(command)
    return commands


def silence_ms(view, node_id, incarnation):
    """Return the time since a node's incarnation was last heard, in milliseconds.

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
    heard_ms = view.leading_since_ms
    if heard is not None and heard.incarnation >= incarnation:
        heard_ms = max(heard_ms, heard.heard_ms)
    return view.now_ms - heard_ms


def _registration_command(view, heard, settings):
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


def _departure_command(view, record, settings):
    node_id = record.info.node_id
    if record.gone:
        return None
    silent_ms = silence_ms(view, node_id, record.incarnation)
    host_state = view.state_by_host.get(record.info.host)
    if silent_ms >= _lost_after_ms(view, node_id, settings):
        # The platform's list lags, so it can confirm a loss but never overrule a heartbeat.
        # Without it, the loss is certain only after the time in which even an agent that another
        # member heard later has unloaded its models.
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
    if heard is None or heard.relayed_by not in view.silent_members:
        return settings.lost_after_ms
    # Losing a control host must not make the nodes connected to it look lost.
    return settings.lost_after_ms + HEARTBEATS_TO_SWITCH_MEMBER * settings.heartbeat_ms
