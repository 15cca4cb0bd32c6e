"""Hold what a member knows that is not committed."""

from dataclasses import dataclass, field

from hemlockdock_control.membership import Beats, PlatformList
from hemlockdock_control.service.load_board import LoadBoard


@dataclass(slots=True)
class Volatile:
    """Hold what a member knows that is not committed.

    Attributes
    ----------
    beats : Beats
    board : LoadBoard
    platform : PlatformList
    report_by_id : dict of str to InventoryReport
        Latest inventories by node id.
    """

    beats: Beats
    board: LoadBoard
    platform: PlatformList
    report_by_id: dict = field(default_factory=dict)
