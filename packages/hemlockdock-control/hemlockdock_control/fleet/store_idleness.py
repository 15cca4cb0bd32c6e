"""Why the weight store is idle while requests lack models."""

from enum import Enum


class IdleReason(Enum):
    """Why no load from the weight store is in progress."""

    NO_DEMAND = "no_demand"
    HOST_MAY_RETURN = "host_may_return"
    LAST_COPIES_LEAVE = "last_copies_leave"
    DEMAND_UNKNOWN = "demand_unknown"
    NO_FREE_ENGINE = "no_free_engine"
    COST_EXCEEDS_BENEFIT = "cost_exceeds_benefit"


class StoreIdleness:
    """Collect in one placement round why models were not loaded from the store.

    Attributes
    ----------
    reason : IdleReason
        What held back the model that was considered first, as models in higher demand come first.
    """

    def __init__(self):
        self.reason = IdleReason.NO_DEMAND

    def note(self, reason):
        """Note what held back a load.

        Parameters
        ----------
        reason : IdleReason
        """
        if self.reason is IdleReason.NO_DEMAND:
            self.reason = reason
