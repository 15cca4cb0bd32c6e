"""Define an engine's reply to an order."""

from dataclasses import dataclass

from hemlockdock_core.messages import OrderOutcome

OUTCOME_BY_STATUS = {
    200: OrderOutcome.DONE,
    409: OrderOutcome.REFUSED_OLD_FENCE,
    507: OrderOutcome.REFUSED_NO_MEMORY,
}


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Hold an engine's reply to an order.

    Attributes
    ----------
    outcome : OrderOutcome or None
        None if no reply was received, so that the inventory must tell the outcome.
    detail : str
    """

    outcome: OrderOutcome | None
    detail: str = ""

    @classmethod
    def of_status(cls, status, detail):
        """Return the reply for an HTTP status.

        Parameters
        ----------
        status : int
        detail : str

        Returns
        -------
        OrderReply
        """
        return cls(OUTCOME_BY_STATUS.get(status, OrderOutcome.FAILED), detail)
