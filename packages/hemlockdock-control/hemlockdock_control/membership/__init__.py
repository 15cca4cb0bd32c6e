"""Detect which nodes are alive, leaving or lost."""

from hemlockdock_control.membership.detector import membership_commands
from hemlockdock_control.membership.heartbeat_table import HeartbeatTable
from hemlockdock_control.membership.node_heartbeat import NodeHeartbeat
from hemlockdock_control.membership.platform_list import HostState, PlatformList
from hemlockdock_control.membership.silence_clock import SilenceClock

__all__ = [
    "HeartbeatTable",
    "HostState",
    "NodeHeartbeat",
    "PlatformList",
    "SilenceClock",
    "membership_commands",
]
