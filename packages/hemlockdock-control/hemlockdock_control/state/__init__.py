"""Replicated cluster state and the state machine that applies committed commands to it."""

from hemlockdock_control.state.cluster_state import ClusterState
from hemlockdock_control.state.machine import ClusterMachine, encode_command

__all__ = ["ClusterMachine", "ClusterState", "encode_command"]
