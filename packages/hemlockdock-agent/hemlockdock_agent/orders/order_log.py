"""Store the orders of one incarnation and their results."""

from hemlockdock_agent.orders.acknowledgement import is_acknowledged
from hemlockdock_agent.orders.effects import ReportResult
from hemlockdock_agent.orders.order_record import OrderPhase

RESULT_REPEAT_MS = 500
MAX_RESULT_REPEATS = 40
MAX_RECORDS = 4_096


class OrderLog:
    """Store the latest ``MAX_RECORDS`` orders of one incarnation and their results.

    Attributes
    ----------
    record_by_key : dict of tuple to OrderRecord
        In order of acceptance.
    """

    def __init__(self):
        self.record_by_key = {}

    def open_records(self):
        """Return the records of orders that have not ended.

        Returns
        -------
        list of OrderRecord
        """
        return [
            record for record in self.record_by_key.values() if record.phase is not OrderPhase.ENDED
        ]

    def add_record(self, record):
        """Add a record, and evict the oldest ended one if there are too many.

        Parameters
        ----------
        record : OrderRecord
        """
        self.record_by_key[record.key] = record
        if len(self.record_by_key) <= MAX_RECORDS:
            return
        for key, old in self.record_by_key.items():
            if old.phase is OrderPhase.ENDED:
                del self.record_by_key[key]
                return

    def drop_waiting(self):
        """Delete the orders that have not been sent."""
        for key, record in list(self.record_by_key.items()):
            if record.phase is OrderPhase.WAITING:
                del self.record_by_key[key]

    def due_results(self, now_ms):
        """Return the unacknowledged results that are due for another report.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        list of ReportResult
        """
        effects = []
        for record in self.record_by_key.values():
            if record.acknowledged or record.result is None or now_ms < record.repeat_ms:
                continue
            record.repeat_ms = now_ms + RESULT_REPEAT_MS
            record.repeats += 1
            record.acknowledged = record.repeats >= MAX_RESULT_REPEATS
            effects.append(ReportResult(record.result))
        return effects

    def acknowledge_from_table(self, table):
        """Stop repeating results that the routing table reflects.

        Parameters
        ----------
        table : RoutingTable
        """
        for record in self.record_by_key.values():
            if record.acknowledged or record.result is None:
                continue
            row = table.replica_by_id.get(record.order.replica_id)
            if row is None:
                # The row was deleted, or it is not in the table yet. Repeating the result tells
                # the two cases apart.
                record.acknowledged = record.repeats > 1
                continue
            record.acknowledged = is_acknowledged(record.order, record.result.outcome, row)
