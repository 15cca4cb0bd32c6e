"""Share what can be served among customers, by start-time fair queueing in tokens.

Notes
-----
Intended for queues that last for seconds, as one customer sends several times its usual load.
"""


class FairQueue:
    """Order of the requests that wait for the same capacity.

    Urgency comes first, then the customers' shares among requests of equal urgency, then the
    deadline. A customer's use counts when its requests are served: those that are refused or
    abandoned while they wait count for nothing. What a customer used while others had nothing to
    send is not held against it.
    """

    def __init__(self):
        self._shares_by_urgency = {}

    def sort(self, requests, ticket_of):
        """Sort waiting requests by the order in which they should be served.

        Parameters
        ----------
        requests : list
            Sorted in place.
        ticket_of : callable
            Takes a request; returns its QueueTicket.
        """
        requests.sort(key=lambda request: _deadline_order(ticket_of(request)))
        tags = {}
        next_by_flow = {}
        for request in requests:
            ticket = ticket_of(request)
            if ticket.start_tag is not None:
                # It has been counted, and did not run: it is served again without a new share.
                tags[ticket] = ticket.start_tag
                continue
            key = (ticket.urgency, ticket.flow)
            start = next_by_flow.get(key)
            if start is None:
                start = self._shares(ticket.urgency).start_of(ticket.flow)
            tags[ticket] = start
            next_by_flow[key] = start + ticket.tokens
        requests.sort(key=lambda request: _share_order(ticket_of(request), tags))

    def record_start(self, ticket):
        """Count a request that is served now.

        Parameters
        ----------
        ticket : QueueTicket
            Counted once only.
        """
        if ticket.start_tag is None:
            ticket.start_tag = self._shares(ticket.urgency).record(ticket.flow, ticket.tokens)

    def _shares(self, urgency):
        shares = self._shares_by_urgency.get(urgency)
        if shares is None:
            shares = _Shares()
            self._shares_by_urgency[urgency] = shares
        return shares


class _Shares:
    """Virtual time of the requests of one urgency, and how far each customer is ahead of it."""

    def __init__(self):
        self._virtual_time = 0
        self._finish_by_flow = {}

    def start_of(self, flow):
        return max(self._virtual_time, self._finish_by_flow.get(flow, 0))

    def record(self, flow, tokens):
        start = self.start_of(flow)
        self._virtual_time = start
        self._finish_by_flow[flow] = start + tokens
        behind = [key for key, finish in self._finish_by_flow.items() if finish <= start]
        for key in behind:
            del self._finish_by_flow[key]
        return start


def _deadline_order(ticket):
    return (ticket.urgency, ticket.deadline_s)


def _share_order(ticket, tags):
    return (ticket.urgency, tags[ticket], ticket.deadline_s)
