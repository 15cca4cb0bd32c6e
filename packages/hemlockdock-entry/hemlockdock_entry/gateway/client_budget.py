"""Limit the memory that all client connections of an entry hold together."""

from dataclasses import dataclass

from hemlockdock_core.process_memory import BYTES_PER_MB, usable_memory_bytes

# Two budgets, for requests and for responses, fit beside what an idle process takes.
MEMORY_SHARE = 0.25
# The share of a host with 160 MB, since a platform may limit the memory without stating it.
MAX_DERIVED_BYTES = 40 * BYTES_PER_MB
# A change of fewer bytes is no progress, so that sending single bytes does not prevent a drop.
PROGRESS_BYTES = 16_384
# Longer than a client on a slow link takes to send or read that many bytes.
STALLED_S = 1.0


def derived_budget_bytes(settings, set_mb):
    """Return a budget, derived from the process's memory if it is not set.

    Parameters
    ----------
    settings : Settings
    set_mb : int
        0 if it is not set.

    Returns
    -------
    int
    """
    if set_mb:
        return set_mb * BYTES_PER_MB
    return min(int(usable_memory_bytes(settings) * MEMORY_SHARE), MAX_DERIVED_BYTES)


def response_budget_bytes(settings):
    """Return the budget for responses that endpoints complete and those that are not read.

    Parameters
    ----------
    settings : Settings

    Returns
    -------
    int
    """
    return derived_budget_bytes(settings, settings.clients.response_budget_mb)


@dataclass(slots=True)
class _Share:
    held_bytes: int
    marked_bytes: int
    progress_s: float


class ClientBudget:
    """The bytes that client connections hold, by connection.

    Parameters
    ----------
    clock : twisted reactor
    max_bytes : int
    """

    def __init__(self, clock, max_bytes):
        self._clock = clock
        self._max_bytes = max_bytes
        self._share_by_holder = {}
        self.held_bytes = 0

    def change(self, holder, held_bytes, least_bytes=0):
        """Set what one connection holds.

        Parameters
        ----------
        holder : ClientConnection
        held_bytes : int
        least_bytes : int, optional
            What a single connection may hold even if the budget is smaller.

        Returns
        -------
        bool
            Whether all connections together stay within the budget.
        """
        share = self._share_by_holder.get(holder)
        if share is None:
            if not held_bytes:
                return True
            share = _Share(0, 0, self._clock.seconds())
            self._share_by_holder[holder] = share
        self.held_bytes += held_bytes - share.held_bytes
        share.held_bytes = held_bytes
        if not held_bytes:
            del self._share_by_holder[holder]
        elif abs(held_bytes - share.marked_bytes) >= PROGRESS_BYTES:
            share.marked_bytes = held_bytes
            share.progress_s = self._clock.seconds()
        return self.held_bytes <= max(self._max_bytes, least_bytes)

    def largest_stalled(self, is_candidate):
        """Return the connection that holds most of those that make no progress, or None.

        Parameters
        ----------
        is_candidate : callable
            Takes a connection, returns whether it may be dropped.

        Returns
        -------
        ClientConnection or None
            Of equal ones, the one without progress for longest.
        """
        latest_s = self._clock.seconds() - STALLED_S
        found = None
        found_key = None
        for holder, share in self._share_by_holder.items():
            if share.progress_s > latest_s or not is_candidate(holder):
                continue
            key = (share.held_bytes, -share.progress_s)
            if found is None or key > found_key:
                found, found_key = holder, key
        return found
