"""Log what became of a client request and of its attempts at endpoints."""

import logging

logger = logging.getLogger(__name__)


class ExchangeLog:
    """Write the log lines of one client request.

    Parameters
    ----------
    gateway : Gateway
    exchange : ProxyExchange
    response_writer : ResponseWriter

    Attributes
    ----------
    last_row : EndpointRow or None
        Endpoint of the last attempt.
    last_framing : Framing or None
        Framing of the last response.
    """

    def __init__(self, gateway, exchange, response_writer):
        self._gateway = gateway
        self._exchange = exchange
        self._response_writer = response_writer
        self.last_row = None
        self.last_framing = None

    def try_ended(self, outcome, problem, move, left_s):
        """Log an attempt without a usable response.

        Parameters
        ----------
        outcome : TryOutcome
        problem : str
        move : NextMove
        left_s : float
        """
        logger.info(
            "try ended",
            extra={
                "request": self._exchange.content.request_id.decode("latin-1"),
                "fingerprint": self._exchange.content.fingerprint,
                "prompt_parts": self._exchange.content.prompt.parts,
                "endpoint": self.last_row.endpoint_id,
                **self._response_fields(),
                "outcome": outcome.value,
                "why": problem,
                "next": move.value,
                "left_s": round(left_s, 3),
            },
        )

    def request_ended(self, outcome, reason):
        """Log the end of the request.

        Parameters
        ----------
        outcome, reason : str
        """
        exchange = self._exchange
        writer = self._response_writer
        first_event_s = writer.first_event_s
        if first_event_s is not None:
            first_event_s = round(first_event_s - exchange.request.received_s, 3)
        logger.info(
            "request ended",
            extra={
                "request": exchange.content.request_id.decode("latin-1"),
                "fingerprint": exchange.content.fingerprint,
                "route": "" if exchange.route is None else exchange.route.name,
                "resumed_request": exchange.content.resumed_request_id.decode("latin-1"),
                "model": exchange.model,
                "adapter": exchange.adapter,
                "outcome": outcome,
                "why": reason,
                "tried": sorted(exchange.tried_ids),
                **self._response_fields(),
                "held_s": round(exchange.now_s() - exchange.request.received_s, 3),
                "first_event_s": first_event_s,
                "longest_gap_s": round(writer.longest_gap_s, 3),
                "left_s": round(exchange.left_s, 3) if exchange.deadline_s else None,
                "revision": self._gateway.revision,
            },
        )

    def _response_fields(self):
        return {
            "software_version": "" if self.last_row is None else self.last_row.software_version,
            "framing": "" if self.last_framing is None else self.last_framing.value,
            "inside_event": self._response_writer.has_partial_event,
        }
