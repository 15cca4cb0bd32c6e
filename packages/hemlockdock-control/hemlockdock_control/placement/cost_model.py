"""Convert cold starts and idle accelerator time into one cost unit."""

MIN_WAIT_COST = 1.0
MAX_WAIT_COST = 400.0
REFERENCE_WAIT_MS = 10_000
TAIL_EXPONENT = 2.0
EXPIRY_RAMP_MS = 14 * 86_400_000
MAX_HOLD_COST = 2.0


class CostModel:
    """Express the cost of waiting in milliseconds of idle accelerator time.

    The cost of a cold start grows faster than its duration, because tail latency matters most.

    Attributes
    ----------
    wait_cost : float
        Idle accelerator time that equals one cold start of ``REFERENCE_WAIT_MS``, as a
        multiple of that duration.
    hold_cost : float
        Cost of one millisecond of idle accelerator time; rises as credits near expiry.
    """

    def __init__(self, tail_cold_start, credits_expire_ms, now_ms):
        """Derive the cost factors from the manifest's weight and the credits' expiry.

        Parameters
        ----------
        tail_cold_start : float
            Weight of the cold-start tail, from 0 to 1.
        credits_expire_ms : int
            0 if credits do not expire.
        now_ms : int
        """
        ratio = MAX_WAIT_COST / MIN_WAIT_COST
        self.wait_cost = MIN_WAIT_COST * ratio**tail_cold_start
        self.hold_cost = _hold_cost(credits_expire_ms, now_ms)

    def cold_start_cost_ms(self, wait_ms):
        """Return the cost of a cold start, in milliseconds of idle accelerator time.

        Parameters
        ----------
        wait_ms : float

        Returns
        -------
        float
        """
        tail_factor = (wait_ms / REFERENCE_WAIT_MS) ** (TAIL_EXPONENT - 1.0)
        return self.wait_cost * wait_ms * tail_factor


def _hold_cost(credits_expire_ms, now_ms):
    if credits_expire_ms <= 0:
        return 1.0
    left_ms = max(credits_expire_ms - now_ms, 0)
    ramp = 1.0 - min(left_ms / EXPIRY_RAMP_MS, 1.0)
    return 1.0 + (MAX_HOLD_COST - 1.0) * ramp
