"""Hold an engine's answer to an order."""

from dataclasses import dataclass

from hemlockdock_core.messages import OrderOutcome

OUTCOME_BY_STATUS = {
    200: OrderOutcome.DONE,
    409: OrderOutcome.REFUSED_OLD_FENCE,
    507: OrderOutcome.REFUSED_NO_MEMORY,
}


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Hold an engine's answer to an order.

    Attributes
    ----------
    outcome : OrderOutcome or None
        None where no answer came, so that the inventory must be asked.
    detail : str
    """

    outcome: OrderOutcome | None
    detail: str = ""

    @classmethod
    def of_status(cls, status, detail):
        """Return the reply that an HTTP status stands for.

        Parameters
        ----------
        status : int
        detail : str

        Returns
        -------
        OrderReply
        """
        return cls(OUTCOME_BY_STATUS.get(status, OrderOutcome.FAILED), detail)
