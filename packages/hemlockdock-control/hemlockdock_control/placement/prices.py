"""Put cold starts and held accelerators into one unit."""

LOWEST_WAIT_PRICE = 1.0
HIGHEST_WAIT_PRICE = 400.0
REFERENCE_WAIT_MS = 10_000
TAIL_EXPONENT = 2.0
TIGHTEN_MS = 14 * 86_400_000
TIGHTEN_MOST = 2.0


class Prices:
    """Price waiting in milliseconds of an idle accelerator.

    The price of a cold start grows faster than its length, since the tail is what counts.

    Attributes
    ----------
    wait_price : float
        Idle accelerator time that is worth one cold start of ``REFERENCE_WAIT_MS``, as a
        multiple of that wait.
    hold_price : float
        Grows as the credits' end comes near.
    """

    def __init__(self, tail_cold_start, credits_expire_ms, now_ms):
        """Take the deployment's weight.

        Parameters
        ----------
        tail_cold_start : float
            From 0 to 1.
        credits_expire_ms : int
            0 for never.
        now_ms : int
        """
        spread = HIGHEST_WAIT_PRICE / LOWEST_WAIT_PRICE
        self.wait_price = LOWEST_WAIT_PRICE * spread**tail_cold_start
        self.hold_price = _hold_price(credits_expire_ms, now_ms)

    def cold_start_ms(self, wait_ms):
        """Return the idle accelerator time that a cold start is worth, in milliseconds.

        Parameters
        ----------
        wait_ms : float

        Returns
        -------
        float
        """
        stretch = (wait_ms / REFERENCE_WAIT_MS) ** (TAIL_EXPONENT - 1.0)
        return self.wait_price * wait_ms * stretch


def _hold_price(credits_expire_ms, now_ms):
    if credits_expire_ms <= 0:
        return 1.0
    left_ms = max(credits_expire_ms - now_ms, 0)
    passed = 1.0 - min(left_ms / TIGHTEN_MS, 1.0)
    return 1.0 + (TIGHTEN_MOST - 1.0) * passed
