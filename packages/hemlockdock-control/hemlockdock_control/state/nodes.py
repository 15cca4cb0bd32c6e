"""Keep which nodes are there, leaving or lost."""

from hemlockdock_control.state.node_record import NodeRecord
from hemlockdock_control.state.refusals import conflict, stale
from hemlockdock_core.commands import CommandResult

AGENT_ROLE = "agent"
PLATFORM = "platform"
GONE_KEEP_MS = 86_400_000


class Nodes:
    """Keep a record of each node's latest incarnation.

    Parameters
    ----------
    context : StateContext

    Attributes
    ----------
    record_by_id : dict of str to NodeRecord
    """

    def __init__(self, context):
        self._context = context
        self.record_by_id = {}

    def register(self, command):
        """Record an incarnation, or that a node taken for lost is heard again.

        Parameters
        ----------
        command : RegisterNode

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self.record_by_id.get(command.info.node_id)
        if record is not None and command.incarnation < record.incarnation:
            return stale(index, f"incarnation {record.incarnation} is there already")
        if record is not None and command.incarnation == record.incarnation:
            return self._heard_again(record, command)
        before = record.incarnation if record is not None else "none"
        record = NodeRecord(command.info, command.incarnation)
        self.record_by_id[command.info.node_id] = record
        self._changed(record, before, f"incarnation {record.incarnation}")
        return CommandResult(index)

    def leave(self, command):
        """Record that a node takes no new work.

        Parameters
        ----------
        command : NodeLeaving

        Returns
        -------
        CommandResult
        """
        record = self.record_by_id.get(command.node_id)
        if record is None:
            return conflict(self._context.index, f"no node {command.node_id!r}")
        if record.leaving:
            return CommandResult(self._context.index)
        record.leaving_source = command.source
        self._changed(record, "present", f"leaving ({command.source})")
        return CommandResult(self._context.index)

    def lose(self, command):
        """Record that a node's heartbeats stopped.

        Parameters
        ----------
        command : NodeLost

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self.record_by_id.get(command.node_id)
        if record is None or record.incarnation != command.incarnation:
            return stale(index, f"incarnation {command.incarnation} is not the current one")
        if record.gone or (record.lost and not command.certain):
            return CommandResult(index)
        record.lost_at_ms = record.lost_at_ms or max(self._context.now_ms, 1)
        record.gone = command.certain
        if command.certain:
            record.inventoried = False
            record.undecided_mb = 0
        self._changed(record, "present", "gone" if command.certain else "lost")
        return CommandResult(index)

    def inventory(self, command):
        """Record that an agent's incarnation has reported what its engine holds.

        Parameters
        ----------
        command : NodeInventoried

        Returns
        -------
        CommandResult
        """
        index = self._context.index
        record = self.record_by_id.get(command.node_id)
        if record is None or record.incarnation != command.incarnation or record.gone:
            return stale(index, f"incarnation {command.incarnation} is not the current one")
        if record.inventoried and record.undecided_mb == command.undecided_mb:
            return CommandResult(index)
        before = f"undecided {record.undecided_mb} MB"
        record.inventoried = True
        record.undecided_mb = command.undecided_mb
        self._changed(record, before, f"inventoried, undecided {command.undecided_mb} MB")
        return CommandResult(index)

    def has_due(self, now_ms):
        """Tell whether any node was gone for long enough to be forgotten.

        Parameters
        ----------
        now_ms : int

        Returns
        -------
        bool
        """
        return any(_forgotten(record, now_ms) for record in self.record_by_id.values())

    def expire(self):
        """Forget nodes that were gone for long."""
        for node_id, record in list(self.record_by_id.items()):
            if not _forgotten(record, self._context.now_ms):
                continue
            del self.record_by_id[node_id]
            self._context.delete(record.row().key)
            self._context.record(
                "control", f"{record.info.role}_node", node_id, "gone", "forgotten"
            )

    def current(self, node_id, incarnation):
        """Tell whether an incarnation is a node's current one.

        Parameters
        ----------
        node_id : str
        incarnation : int

        Returns
        -------
        bool
        """
        record = self.record_by_id.get(node_id)
        return record is not None and record.incarnation == incarnation and not record.gone

    def superseded(self, node_id, incarnation):
        """Tell whether an incarnation has certainly ended.

        Parameters
        ----------
        node_id : str
        incarnation : int

        Returns
        -------
        bool
        """
        record = self.record_by_id.get(node_id)
        if record is None:
            return False
        if record.incarnation > incarnation:
            return True
        return record.incarnation == incarnation and record.gone

    def _heard_again(self, record, command):
        index = self._context.index
        if record.gone and record.info.role == AGENT_ROLE:
            # Orders to this incarnation may still be on their way.
            return stale(index, "this incarnation was given up; only a newer one may come back")
        before = "lost" if record.lost else "present"
        record.info = command.info
        record.lost_at_ms = 0
        record.gone = False
        if record.leaving_source == PLATFORM:
            record.leaving_source = ""
        self._changed(record, before, "present")
        return CommandResult(index)

    def _changed(self, record, before, after):
        self._context.put(record.row())
        self._context.record(
            "control", f"{record.info.role}_node", record.info.node_id, before, after
        )


def _forgotten(record, now_ms):
    return record.gone and now_ms - record.lost_at_ms >= GONE_KEEP_MS
