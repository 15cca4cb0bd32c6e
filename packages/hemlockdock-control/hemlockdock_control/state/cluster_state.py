"""Replicated cluster state, changed only by committed commands."""

from functools import singledispatchmethod

from hemlockdock_control.state.adapters import Adapters
from hemlockdock_control.state.context import StateContext
from hemlockdock_control.state.crashes import Crashes
from hemlockdock_control.state.jobs import Jobs
from hemlockdock_control.state.manifests import Manifests
from hemlockdock_control.state.nodes import Nodes
from hemlockdock_control.state.replicas import Replicas
from hemlockdock_control.state.routes import Endpoints, Routes
from hemlockdock_control.state.run_once import RunOnce
from hemlockdock_control.state.snapshots import encode_image, restore_image
from hemlockdock_core.commands import (
    AdapterLoaded,
    ClaimJob,
    ClaimRun,
    CommandResult,
    DecideAdapter,
    DecideAdapterUnload,
    DecideLoad,
    DecideUnload,
    DropAdapter,
    ExpireRecords,
    FinishJob,
    FinishRun,
    NodeInventoried,
    NodeLeaving,
    NodeLost,
    ReadJob,
    RecordCrash,
    RecordEndpoints,
    RecordMembers,
    RegisterNode,
    ReleaseQuarantine,
    ReplicaGone,
    ReplicaReady,
    SubmitJob,
    SubmitManifest,
    SubmitRoutes,
)


class ClusterState:
    """Replicated state of the cluster.

    Applying commands is deterministic: the same sequence gives the same state on every member.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
        Only ``control.audit_entries`` is used; it does not affect the results of commands.

    Attributes
    ----------
    manifests : Manifests
    nodes : Nodes
    replicas : Replicas
    adapters : Adapters
    run_once : RunOnce
    jobs : Jobs
    crashes : Crashes
    routes : Routes
    endpoints : Endpoints
    """

    def __init__(self, settings):
        self._context = StateContext(settings.control.audit_entries)
        self.manifests = Manifests(self._context)
        self.nodes = Nodes(self._context)
        self.replicas = Replicas(self._context, self.manifests, self.nodes)
        self.adapters = Adapters(self._context, self.manifests, self.nodes, self.replicas)
        self.run_once = RunOnce(self._context, self.nodes)
        self.jobs = Jobs(self._context, self.nodes)
        self.crashes = Crashes(self._context)
        self.routes = Routes(self._context)
        self.endpoints = Endpoints(self._context)

    @property
    def index(self):
        """Return the log index of the last command applied."""
        return self._context.index

    @property
    def now_ms(self):
        """Return the committed wall-clock time, in milliseconds since 1970."""
        return self._context.now_ms

    @property
    def epoch(self):
        """Return the epoch of the routing table; 0 before the first command."""
        return self._context.epoch

    @property
    def changes(self):
        """Return the routing table's rows and their change log."""
        return self._context.changes

    @property
    def audit(self):
        """Return the audit trail."""
        return self._context.audit

    def apply(self, index, command):
        """Apply one committed command.

        Parameters
        ----------
        index : int
            Log index; also the table revision of the rows that the command changes.
        command : Command

        Returns
        -------
        CommandResult
        """
        self._context.advance(index, getattr(command, "at_ms", 0))
        return self._apply(command)

    def read_job(self, command):
        """Return a job's state and result without a log entry.

        Parameters
        ----------
        command : ReadJob

        Returns
        -------
        CommandResult
        """
        return self.jobs.read(command)

    def has_due(self, now_ms):
        """Return whether any record has expired.

        Parameters
        ----------
        now_ms : int
            Wall-clock time, in milliseconds since 1970.

        Returns
        -------
        bool
        """
        components = (self.run_once, self.jobs, self.crashes, self.nodes)
        return any(component.has_due(now_ms) for component in components)

    def snapshot(self):
        """Return the encoded state."""
        return encode_image(self)

    def restore(self, data):
        """Replace the state with that of a snapshot.

        Parameters
        ----------
        data : bytes

        Raises
        ------
        ValueError
            If the data is not a snapshot of the supported format.
        """
        restore_image(self, self._context, data)

    @singledispatchmethod
    def _apply(self, command):
        raise TypeError(f"unsupported command type {type(command).__name__}")

    @_apply.register
    def _(self, command: SubmitManifest):
        result = self.manifests.submit(command)
        if result.revision == self.index:
            self.replicas.apply_manifest()
        return result

    @_apply.register
    def _(self, command: RegisterNode):
        result = self.nodes.register(command)
        self._resolve_claims(command.info.node_id)
        return result

    @_apply.register
    def _(self, command: NodeLeaving):
        return self.nodes.mark_leaving(command)

    @_apply.register
    def _(self, command: NodeLost):
        result = self.nodes.mark_lost(command)
        if result.refusal is None and command.certain:
            self.replicas.remove_replicas_of(command.node_id)
        self._resolve_claims(command.node_id)
        return result

    @_apply.register
    def _(self, command: NodeInventoried):
        return self.nodes.record_inventory(command)

    @_apply.register
    def _(self, command: DecideLoad):
        return self.replicas.decide_load(command)

    @_apply.register
    def _(self, command: DecideUnload):
        return self.replicas.decide_unload(command)

    @_apply.register
    def _(self, command: ReplicaReady):
        return self.replicas.mark_ready(command)

    @_apply.register
    def _(self, command: ReplicaGone):
        return self.replicas.record_gone(command)

    @_apply.register
    def _(self, command: DecideAdapter):
        return self.adapters.decide(command)

    @_apply.register
    def _(self, command: DecideAdapterUnload):
        return self.adapters.decide_unload(command)

    @_apply.register
    def _(self, command: AdapterLoaded):
        return self.adapters.mark_loaded(command)

    @_apply.register
    def _(self, command: DropAdapter):
        return self.adapters.record_drop(command)

    @_apply.register
    def _(self, command: ClaimRun):
        return self.run_once.claim(command)

    @_apply.register
    def _(self, command: FinishRun):
        return self.run_once.finish(command)

    @_apply.register
    def _(self, command: SubmitJob):
        return self.jobs.submit(command)

    @_apply.register
    def _(self, command: ClaimJob):
        return self.jobs.claim(command)

    @_apply.register
    def _(self, command: FinishJob):
        return self.jobs.finish(command)

    @_apply.register
    def _(self, command: ReadJob):
        return self.jobs.read(command)

    @_apply.register
    def _(self, command: RecordCrash):
        return self.crashes.record(command)

    @_apply.register
    def _(self, command: ReleaseQuarantine):
        return self.crashes.release(command)

    @_apply.register
    def _(self, command: RecordMembers):
        self._context.record(
            command.who, "members", command.member_id, command.before, command.after
        )
        return CommandResult(self._context.index)

    @_apply.register
    def _(self, command: SubmitRoutes):
        return self.routes.submit(command)

    @_apply.register
    def _(self, command: RecordEndpoints):
        return self.endpoints.record(command)

    @_apply.register
    def _(self, command: ExpireRecords):
        self.run_once.expire()
        self.jobs.expire()
        self.crashes.expire()
        self.nodes.expire()
        return CommandResult(self.index)

    def _resolve_claims(self, node_id):
        self.run_once.resolve_claims(node_id)
        self.jobs.resolve_claims(node_id)
