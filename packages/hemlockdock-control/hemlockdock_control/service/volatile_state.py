"""Hold the state of a member that is not committed to the replicated log."""

from dataclasses import dataclass, field

from hemlockdock_control.membership import HeartbeatTable, PlatformList
from hemlockdock_control.service.load_tracker import LoadTracker

# A few digest intervals; members send a digest every 200 ms.
MEMBER_SILENT_AFTER_MS = 600


@dataclass(slots=True)
class VolatileState:
    """Hold the state of a member that is not committed to the replicated log.

    Attributes
    ----------
    heartbeats : HeartbeatTable
    load_tracker : LoadTracker
    platform : PlatformList
    report_by_id : dict of str to InventoryReport
        Latest inventory of each node.
    digest_ms_by_member : dict of str to float
        When the last digest of each member arrived, by the silence clock.
    """

    heartbeats: HeartbeatTable
    load_tracker: LoadTracker
    platform: PlatformList
    report_by_id: dict = field(default_factory=dict)
    digest_ms_by_member: dict = field(default_factory=dict)

    def silent_members(self, now_ms):
        """Return the members whose digests no longer arrive.

        Parameters
        ----------
        now_ms : float

        Returns
        -------
        set of str
        """
        return {
            member_id
            for member_id, heard_ms in self.digest_ms_by_member.items()
            if now_ms - heard_ms >= MEMBER_SILENT_AFTER_MS
        }
