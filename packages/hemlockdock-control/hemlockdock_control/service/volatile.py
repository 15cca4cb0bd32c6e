"""Hold what a member knows that is not committed."""

from dataclasses import dataclass, field

from hemlockdock_control.membership import Beats, PlatformList
from hemlockdock_control.service.load_tracker import LoadTracker

# A few digests, which come every 200 ms.
MEMBER_SILENT_MS = 600


@dataclass(slots=True)
class Volatile:
    """Hold what a member knows that is not committed.

    Attributes
    ----------
    beats : Beats
    board : LoadTracker
    platform : PlatformList
    report_by_id : dict of str to InventoryReport
        Latest inventories by node id.
    digest_ms_by_member : dict of str to float
        When each member's digest last came, by the silence clock.
    """

    beats: Beats
    board: LoadTracker
    platform: PlatformList
    report_by_id: dict = field(default_factory=dict)
    digest_ms_by_member: dict = field(default_factory=dict)

    def silent_members(self, now_ms):
        """Return the members whose digests stopped.

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
            if now_ms - heard_ms >= MEMBER_SILENT_MS
        }
