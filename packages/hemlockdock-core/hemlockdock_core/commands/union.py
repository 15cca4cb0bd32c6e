"""Union of all commands."""

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
from hemlockdock_core.commands.routes import RecordEndpoints, SubmitRoutes
from hemlockdock_core.commands.run_once import ClaimRun, FinishRun
from hemlockdock_core.commands.tick import ExpireRecords

Command = (
    SubmitManifest
    | RegisterNode
    | NodeLeaving
    | NodeLost
    | NodeInventoried
    | DecideLoad
    | DecideUnload
    | ReplicaReady
    | ReplicaGone
    | DecideAdapter
    | DecideAdapterUnload
    | AdapterLoaded
    | DropAdapter
    | ClaimRun
    | FinishRun
    | SubmitJob
    | ClaimJob
    | FinishJob
    | ReadJob
    | RecordCrash
    | ReleaseQuarantine
    | ExpireRecords
    | RecordMembers
    | SubmitRoutes
    | RecordEndpoints
)
