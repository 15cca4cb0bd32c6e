"""What a new leader keeps of the rows that an earlier leader recorded."""

import msgspec

# Several report intervals: an older report is no more reliable than the directory.
REPORT_MAX_AGE_S = 2.5


class FormerRows:
    """Complete rows by what an earlier leader recorded of hosts and of loads.

    Entries would take both for lost otherwise.

    Parameters
    ----------
    leads_since_s : float
    """

    def __init__(self, leads_since_s):
        self._leads_since_s = leads_since_s
        self._restated_ids = set()

    def complete(self, row, report, known, has_reported, now_s):
        """Return a row with what is still valid of the recorded one.

        Parameters
        ----------
        row : EndpointRow
        report : AgentReport or None
            A current report.
        known : EndpointRow
            What is recorded now.
        has_reported : bool
            Whether the agent has reported to this leader.
        now_s : float

        Returns
        -------
        EndpointRow
        """
        if report is None:
            if has_reported or now_s - self._leads_since_s > REPORT_MAX_AGE_S:
                return row
            return msgspec.structs.replace(
                row,
                agent_address=known.agent_address,
                arriving=known.arriving,
                on_host=known.on_host,
            )
        if not row.arriving and _goes_on(report.body, known):
            # An earlier leader decided the load, and entries know when it ends.
            return msgspec.structs.replace(row, arriving=known.arriving)
        return row

    def with_time_left(self, row, placement, now_s):
        """Return a row that states when loads of earlier leaders end, as entries may be new.

        Each leader computes it once for an endpoint.

        Parameters
        ----------
        row : EndpointRow
        placement : Placement
        now_s : float

        Returns
        -------
        EndpointRow
        """
        if row.endpoint_id in placement.pending_by_id or row.endpoint_id in self._restated_ids:
            return row
        arriving = []
        for model in row.arriving:
            left_ms = placement.recorded_left_ms(row.endpoint_id, model.name, now_s)
            arriving.append(msgspec.structs.replace(model, left_ms=left_ms))
            self._restated_ids.add(row.endpoint_id)
        return msgspec.structs.replace(row, arriving=tuple(arriving))


def _goes_on(body, known):
    """Tell whether the load that a row lists is in progress, as far as the agent reports."""
    if any(model.name == body.changing_to for model in known.arriving):
        return True
    # An agent that has just started does not know what its engine is busy with.
    return body.answers and body.report.busy and not body.change_number
