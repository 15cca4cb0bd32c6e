"""Permits for one endpoint that has a limit."""

from dataclasses import dataclass, field

from hemlockdock_entry.gateway.permit import PERMIT_S, Permit
from hemlockdock_entry.own_pace import OwnPace

# What the leader said of the next permit holds for this long.
SAID_VALID_S = 0.25


@dataclass(frozen=True, slots=True)
class AskedPermits:
    """Requests for which the leader was asked for permits.

    Attributes
    ----------
    exchanges : list of ProxyExchange
    asked_s : float
    """

    exchanges: list
    asked_s: float


@dataclass(slots=True)
class EndpointPermits:
    """Permits for one endpoint.

    Attributes
    ----------
    own_pace : OwnPace
    generation : int
        Permits of an earlier generation have lapsed.
    held : list of Permit
        Permits that no request has.
    wanting : list of ProxyExchange
        Requests for which permits are about to be asked.
    asked_by_number : dict of int to AskedPermits
        By the number of the message.
    next_s : float
        Time before which there is no permit, as the leader has said.
    said_s : float
        Time at which it has said so.
    return_s : float
        Time at which the client that was refused last may return.
    """

    own_pace: OwnPace
    generation: int = 0
    held: list = field(default_factory=list)
    wanting: list = field(default_factory=list)
    asked_by_number: dict = field(default_factory=dict)
    next_s: float = 0.0
    said_s: float = 0.0
    return_s: float = 0.0

    def has_none_before(self, latest_s, now_s):
        """Return whether the leader has said lately that there is no permit until some time.

        Parameters
        ----------
        latest_s, now_s : float

        Returns
        -------
        bool
        """
        return latest_s < self.next_s and now_s - self.said_s < SAID_VALID_S

    def create(self, endpoint_id, valid_from_s, is_issued):
        """Create a permit.

        Parameters
        ----------
        endpoint_id : str
        valid_from_s : float
        is_issued : bool

        Returns
        -------
        Permit
        """
        until_s = valid_from_s + PERMIT_S
        return Permit(endpoint_id, valid_from_s, until_s, is_issued, self.generation)

    def take_held(self, latest_s):
        """Take the earliest permit that no request has.

        Parameters
        ----------
        latest_s : float
            Time until which it must become valid.

        Returns
        -------
        Permit or None
        """
        self.held.sort(key=_valid_from_s)
        if not self.held or self.held[0].valid_from_s > latest_s:
            return None
        return self.held.pop(0)

    def drop_expired(self, now_s):
        """Drop the permits that no request has used in time.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        int
            How many of them the leader had issued.
        """
        expired = [permit for permit in self.held if permit.valid_until_s <= now_s]
        if expired:
            self.held = [permit for permit in self.held if permit.valid_until_s > now_s]
        return sum(permit.is_issued for permit in expired)

    def lower_limit(self):
        """Let all permits lapse, because they were booked under a much higher limit."""
        self.generation += 1
        self.next_s = 0.0
        self.held = []
        self.own_pace.restart()

    def take_pending(self):
        """Take all requests that wait for a reply of the leader.

        Returns
        -------
        list of ProxyExchange
        """
        exchanges = self.wanting
        for asked in self.asked_by_number.values():
            exchanges.extend(asked.exchanges)
        self.wanting = []
        self.asked_by_number = {}
        return exchanges


def _valid_from_s(permit):
    return permit.valid_from_s
