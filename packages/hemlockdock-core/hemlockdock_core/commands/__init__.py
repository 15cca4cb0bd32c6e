"""Commands of the replicated log, and their results."""

from hemlockdock_core.commands.crashes import RecordCrash, ReleaseQuarantine
from hemlockdock_core.commands.decisions import (
    AdapterLoaded,
    DecideAdapter,
    DecideAdapterUnload,
    DecideLoad,
    DecideUnload,
    DropAdapter,
    ReplicaGone,
    ReplicaReady,
)
from hemlockdock_core.commands.jobs import ClaimJob, FinishJob, ReadJob, SubmitJob
from hemlockdock_core.commands.manifests import SubmitManifest
from hemlockdock_core.commands.members import RecordMembers
from hemlockdock_core.commands.membership import (
    NodeInventoried,
    NodeLeaving,
    NodeLost,
    RegisterNode,
)
from hemlockdock_core.commands.result import CommandResult
from hemlockdock_core.commands.routes import RecordEndpoints, SubmitRoutes
from hemlockdock_core.commands.run_once import ClaimRun, FinishRun, RunState
from hemlockdock_core.commands.tick import ExpireRecords
from hemlockdock_core.commands.union import Command

__all__ = [
    "AdapterLoaded",
    "ClaimJob",
    "ClaimRun",
    "Command",
    "CommandResult",
    "DecideAdapter",
    "DecideAdapterUnload",
    "DecideLoad",
    "DecideUnload",
    "DropAdapter",
    "ExpireRecords",
    "FinishJob",
    "FinishRun",
    "NodeInventoried",
    "NodeLeaving",
    "NodeLost",
    "ReadJob",
    "RecordCrash",
    "RecordEndpoints",
    "RecordMembers",
    "RegisterNode",
    "ReleaseQuarantine",
    "ReplicaGone",
    "ReplicaReady",
    "RunState",
    "SubmitJob",
    "SubmitManifest",
    "SubmitRoutes",
]
