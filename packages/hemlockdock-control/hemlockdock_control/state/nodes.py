"""Track registered nodes and whether they are leaving or lost."""

from hemlockdock_control.state.node_record import NodeRecord
from hemlockdock_control.state.refusals import conflict, stale
from hemlockdock_core.commands import CommandResult

AGENT_ROLE = "agent"
PLATFORM = "platform"
GONE_RETENTION_MS = 86_400_000


class Nodes:
    """Latest incarnation of each node.

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
        """Register a new incarnation, or clear the lost state of the current one.

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
            return self._reregister(record, command)
        before = record.incarnation if record is not None else "none"
        record = NodeRecord(command.info, command.incarnation)
        self.record_by_id[command.info.node_id] = record
        self._publish_change(record, before, f"incarnation {record.incarnation}")
        return CommandResult(index)

    def mark_leaving(self, command):
        """Mark a node as leaving, so that it takes no new work.

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
        self._publish_change(record, "present", f"leaving ({command.source})")
        return CommandResult(self._context.index)

    def mark_lost(self, command):
        """Mark a node as lost, or as gone if the loss is certain.

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
        self._publish_change(record, "present", "gone" if command.certain else "lost")
        return CommandResult(index)

    def record_inventory(self, command):
        """Record that an agent incarnation has reported its inventory.

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
        self._publish_change(record, before, f"inventoried, undecided {command.undecided_mb} MB")
        return CommandResult(index)

    def has_due(self, now_ms):
        """Return whether the retention of any gone node has passed.

        Parameters
        ----------
        now_ms : int

        Returns
        -------
        bool
        """
        return any(_is_expired(record, now_ms) for record in self.record_by_id.values())

    def expire(self):
        """Remove gone nodes past their retention."""
        for node_id, record in list(self.record_by_id.items()):
            if not _is_expired(record, self._context.now_ms):
                continue
            del self.record_by_id[node_id]
            self._context.delete(record.row().key)
            self._context.record(
                "control", f"{record.info.role}_node", node_id, "gone", "forgotten"
            )

    def current(self, node_id, incarnation):
        """Return whether an incarnation is the current one of its node and not gone.

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
        """Return whether an incarnation is known to have ended.

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

    def _reregister(self, record, command):
        index = self._context.index
        if record.gone and record.info.role == AGENT_ROLE:
            # Orders to this incarnation may still be in transit.
            return stale(index, "this incarnation was given up; only a newer one may come back")
        before = "lost" if record.lost else "present"
        record.info = command.info
        record.lost_at_ms = 0
        record.gone = False
        if record.leaving_source == PLATFORM:
            record.leaving_source = ""
        self._publish_change(record, before, "present")
        return CommandResult(index)

    def _publish_change(self, record, before, after):
        self._context.put(record.row())
        self._context.record(
            "control", f"{record.info.role}_node", record.info.node_id, before, after
        )


def _is_expired(record, now_ms):
    return record.gone and now_ms - record.lost_at_ms >= GONE_RETENTION_MS
