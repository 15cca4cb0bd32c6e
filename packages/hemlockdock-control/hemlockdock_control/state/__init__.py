"""Replicated cluster state and the state machine that applies committed commands to it."""

from hemlockdock_control.state.cluster_state import ClusterState
from hemlockdock_control.state.machine import ClusterStateMachine, encode_command

__all__ = ["ClusterState", "ClusterStateMachine", "encode_command"]
