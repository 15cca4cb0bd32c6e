"""Permits to send requests to endpoints that have a limit."""

from dataclasses import dataclass, field

# A permit covers a lost connection attempt, or a load of an adapter.
PERMIT_S = 0.5


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request to an endpoint.

    Attributes
    ----------
    endpoint_id : str
    valid_from_s, valid_until_s : float
    is_issued : bool
        Whether the leader issued it.
    generation : int
        Number of times that the endpoint's limit had been lowered before.
    """

    endpoint_id: str
    valid_from_s: float
    valid_until_s: float
    is_issued: bool
    generation: int

    def is_valid(self, now_s):
        """Return whether the request may be sent now.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return self.valid_from_s <= now_s < self.valid_until_s


@dataclass(slots=True)
class PermitWish:
    """What a request needs to be sent to an endpoint that has a limit.

    Attributes
    ----------
    permit : Permit or None
    asked_id : str
        Endpoint for which the leader has been asked for a permit; empty if there is none.
    declined_until_s_by_id : dict of str to float
        Endpoints without a permit for this request until then.
    """

    permit: Permit | None = None
    asked_id: str = ""
    declined_until_s_by_id: dict = field(default_factory=dict)

    def is_pending(self, now_s):
        """Return whether the request waits for a permit, or for the time of its permit.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        if self.asked_id:
            return True
        return self.permit is not None and now_s < self.permit.valid_from_s
