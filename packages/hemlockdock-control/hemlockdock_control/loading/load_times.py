"""Learn how long loads take from each tier."""

from hemlockdock_control.loading.tier import Tier

FIXED_MS = 500.0
RATE_MB_PER_MS_BY_TIER = {Tier.MEMORY: 20.0, Tier.DISK: 4.0, Tier.REMOTE: 1.0}
LEARNING_RATE = 0.3


class LoadTimes:
    """Learn the ratio of measured to nominal load time, for each tier.

    Attributes
    ----------
    factor_by_tier : dict of Tier to float
    """

    def __init__(self):
        self.factor_by_tier = dict.fromkeys(Tier, 1.0)
        self._typical_ms_by_tier = dict.fromkeys(Tier, 0.0)
        self._last_start_ended_ms = dict.fromkeys(Tier, 0)

    def observe(self, tier, checkpoint_mb, took_ms):
        """Learn from one load that ended well.

        Parameters
        ----------
        tier : Tier
        checkpoint_mb : int
        took_ms : int
        """
        measured = took_ms / nominal_load_ms(tier, checkpoint_mb)
        step = LEARNING_RATE * (measured - self.factor_by_tier[tier])
        self.factor_by_tier[tier] += step
        typical_ms = self._typical_ms_by_tier[tier]
        self._typical_ms_by_tier[tier] += LEARNING_RATE * (took_ms - typical_ms)

    def note_end(self, tier, started_ms):
        """Remember that a load ended, by when it started.

        Parameters
        ----------
        tier : Tier
        started_ms : int
        """
        self._last_start_ended_ms[tier] = max(self._last_start_ended_ms[tier], started_ms)

    def last_start_ended_ms(self, tier):
        """Return the latest start among the loads that ended well; 0 for none.

        Parameters
        ----------
        tier : Tier

        Returns
        -------
        int
        """
        return self._last_start_ended_ms[tier]

    def typical_ms(self, tier):
        """Return a moving average of load times.

        Parameters
        ----------
        tier : Tier

        Returns
        -------
        float
        """
        return self._typical_ms_by_tier[tier]

    def expected_ms(self, tier, checkpoint_mb):
        """Return the time that a load is expected to take, in milliseconds.

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
    """Return the load time assumed before anything was learnt, in milliseconds.

    Parameters
    ----------
    tier : Tier
    checkpoint_mb : int

    Returns
    -------
    float
    """
    return FIXED_MS + checkpoint_mb / RATE_MB_PER_MS_BY_TIER[tier]
