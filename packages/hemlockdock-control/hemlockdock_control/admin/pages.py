"""Compute the pages of the operators' API."""

import msgspec

from hemlockdock_control.admin.alarms import alarms
from hemlockdock_control.admin.in_force import in_force
from hemlockdock_control.admin.quarantine_list import quarantine_list
from hemlockdock_control.consensus import NotLeaderError
from hemlockdock_core.commands import CommandResult
from hemlockdock_core.errors import ErrorKind, Refusal

AUDIT_LIMIT = 1_000


class AdminPages:
    """Compute pages from a member's state.

    Parameters
    ----------
    settings : hemlockdock_core.settings.Settings
    service : ControlService
    """

    def __init__(self, settings, service):
        self._settings = settings
        self._service = service
        self._page_by_name = {
            "status": self._status,
            "audit": self._audit,
            "explain": self._explain,
            "jobs": self._jobs,
            "quarantines": self._quarantines,
            "in_force": self._in_force,
        }

    def consistent_page(self, name, arguments):
        """Return a page that includes every commit up to now; works only on the leader.

        Parameters
        ----------
        name : str
        arguments : dict of str to str

        Returns
        -------
        Deferred of CommandResult
            With the page's JSON as payload.
        """
        outcome = self._service.replicator.read_barrier()
        outcome.addCallback(lambda _: self.local_page(name, arguments))
        outcome.addErrback(_not_leader)
        return outcome

    def local_page(self, name, arguments):
        """Return a page from this member's state.

        Parameters
        ----------
        name : str
        arguments : dict of str to str

        Returns
        -------
        CommandResult
        """
        revision = self._service.machine.state.index
        try:
            page = self._page_by_name[name](arguments)
        except (KeyError, ValueError) as error:
            refusal = Refusal.of(ErrorKind.BAD_REQUEST, f"a known page and arguments: {error}")
            return CommandResult(revision, refusal)
        return CommandResult(revision, payload=msgspec.json.encode(page))

    def gauges(self):
        """Return this member's gauges by name.

        Returns
        -------
        dict of str to float
        """
        state = self._service.machine.state
        nodes = state.nodes.record_by_id.values()
        return {
            "control_leads": float(self._service.replicator.is_leader),
            "control_revision": state.index,
            "control_table_revision": state.changes.revision,
            "control_nodes": len(nodes),
            "control_nodes_lost": sum(item.lost for item in nodes),
            "control_replicas": len(state.replicas.record_by_id),
            "control_run_once_records": len(state.run_once.record_by_key),
            "control_jobs": len(state.jobs.record_by_id),
            "control_watchers": len(self._service.feed.watcher_by_address),
            "control_alarms": len(alarms(self._service, self._settings)),
        }

    def _status(self, arguments):
        state = self._service.machine.state
        replicator = self._service.replicator
        return {
            "cluster": self._settings.control.cluster,
            "member_id": self._settings.process.node_id,
            "leader_id": replicator.leader_id,
            "leads": replicator.is_leader,
            "term": replicator.term,
            "revision": state.index,
            "table_revision": state.changes.revision,
            "manifest": self._manifest(),
            "alarms": alarms(self._service, self._settings),
            "members": [
                {"member_id": item.member_id, "address": item.address, "voter": item.voter}
                for item in replicator.configuration.members
            ],
            "nodes": [self._node(item) for item in state.nodes.record_by_id.values()],
            "replicas": [self._replica(item) for item in state.replicas.record_by_id.values()],
            "quarantines": quarantine_list(state.crashes),
        }

    def _quarantines(self, arguments):
        return {"quarantines": quarantine_list(self._service.machine.state.crashes)}

    def _manifest(self):
        manifests = self._service.machine.state.manifests
        if manifests.current is None:
            return None
        acceptance = manifests.accepted_by_number[manifests.current.number]
        return {
            "number": acceptance.number,
            "digest": acceptance.digest,
            "revision": acceptance.revision,
            "in_force": in_force(self._service, acceptance.revision),
        }

    def _node(self, record):
        heard = self._service.volatile_state.heartbeats.heard_by_id.get(record.info.node_id)
        return {
            "node_id": record.info.node_id,
            "role": record.info.role,
            "host": record.info.host,
            "failure_domain": record.info.failure_domain,
            "incarnation": record.incarnation,
            "leaving": record.leaving,
            "lost": record.lost,
            "gone": record.gone,
            "table_revision": heard.table_revision if heard is not None else 0,
            "memory_mb": record.info.memory_mb,
            "reserved_mb": self._service.machine.state.replicas.reserved_mb(record.info.node_id),
        }

    def _replica(self, record):
        return {
            "replica_id": record.replica_id,
            "model": record.model,
            "version": record.version,
            "node_id": record.node_id,
            "state": record.state.value,
            "adapters": sorted(record.adapter_by_name),
        }

    def _audit(self, arguments):
        records = self._service.machine.state.audit.select(
            int(arguments.get("since_ms", "0")),
            arguments.get("kind", ""),
            arguments.get("subject", ""),
            AUDIT_LIMIT,
        )
        return {"records": records}

    def _explain(self, arguments):
        lines = self._service.explain(arguments["model"])
        return {"model": arguments["model"], "reasons": lines}

    def _jobs(self, arguments):
        jobs = self._service.machine.state.jobs.record_by_id.values()
        return {
            "jobs": [
                {
                    "job_id": item.job_id,
                    "caller": item.caller,
                    "model": item.model,
                    "state": item.state,
                    "owner": item.owner,
                    "deadline_at_ms": item.deadline_at_ms,
                }
                for item in jobs
            ]
        }

    def _in_force(self, arguments):
        return in_force(self._service, int(arguments["revision"]))


def _not_leader(failure):
    failure.trap(NotLeaderError)
    return CommandResult(0, Refusal.of(ErrorKind.NO_CONTROL, "this member does not lead"))
