"""Estimate how long loads take from each tier."""

from hemlockdock_control.loading.tier import Tier

FIXED_OVERHEAD_MS = 500.0
RATE_MB_PER_MS_BY_TIER = {Tier.MEMORY: 20.0, Tier.DISK: 4.0, Tier.REMOTE: 1.0}
LEARNING_RATE = 0.3


class LoadTimeEstimator:
    """Estimate the ratio of measured to nominal load time for each tier.

    Attributes
    ----------
    factor_by_tier : dict of Tier to float
    """

    def __init__(self):
        self.factor_by_tier = dict.fromkeys(Tier, 1.0)
        self._average_ms_by_tier = dict.fromkeys(Tier, 0.0)
        self._latest_completed_start_ms = dict.fromkeys(Tier, 0)

    def observe(self, tier, checkpoint_mb, took_ms):
        """Update the estimate from one successful load.

        Parameters
        ----------
        tier : Tier
        checkpoint_mb : int
        took_ms : int
        """
        ratio = took_ms / nominal_load_ms(tier, checkpoint_mb)
        step = LEARNING_RATE * (ratio - self.factor_by_tier[tier])
        self.factor_by_tier[tier] += step
        average_ms = self._average_ms_by_tier[tier]
        self._average_ms_by_tier[tier] += LEARNING_RATE * (took_ms - average_ms)

    def record_completion(self, tier, started_ms):
        """Record that a load completed, with the time of its start.

        Parameters
        ----------
        tier : Tier
        started_ms : int
        """
        self._latest_completed_start_ms[tier] = max(
            self._latest_completed_start_ms[tier], started_ms
        )

    def latest_completed_start_ms(self, tier):
        """Return the latest start time of all completed loads; 0 if there are none.

        Parameters
        ----------
        tier : Tier

        Returns
        -------
        int
        """
        return self._latest_completed_start_ms[tier]

    def average_ms(self, tier):
        """Return the moving average of load times, in milliseconds.

        Parameters
        ----------
        tier : Tier

        Returns
        -------
        float
        """
        return self._average_ms_by_tier[tier]

    def expected_ms(self, tier, checkpoint_mb):
        """Return the expected load time, in milliseconds.

        Parameters
        ----------
        tier : Tier
        checkpoint_mb : int

        Returns
        -------
        int
        """
        return round(self.factor_by_tier[tier] * nominal_load_ms(tier, checkpoint_mb))


def nominal_load_ms(tier, checkpoint_mb):
    """Return the load time assumed before any load was measured, in milliseconds.

    Parameters
    ----------
    tier : Tier
    checkpoint_mb : int

    Returns
    -------
    float
    """
    return FIXED_OVERHEAD_MS + checkpoint_mb / RATE_MB_PER_MS_BY_TIER[tier]
