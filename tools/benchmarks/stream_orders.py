"""Search the orders of what can happen between a stream's first event and its resumptions.

Run as a module, it plays all orders and prints the counts: ``python -m benchmarks.stream_orders``.
"""

import itertools
from dataclasses import dataclass, field
from enum import Enum, auto

from benchmarks.stream_world import (
    LONG_TIMEOUT_MS,
    NEW,
    OTHER_POOL,
    POOL,
    SHORT_TIMEOUT_MS,
    TIMEOUT_MS,
    Entry,
    World,
)

MS_PER_S = 1_000
SHORT_GAP_S = 0.05
LONG_GAP_S = 6.5
LAST_EVENT_ID = b"1"
LAST_EVENT_HEADER = b"last-event-id"


class Event(Enum):
    """What happens around a stream that breaks off and is resumed."""

    BEGIN = auto()
    RECORD = auto()
    KILL_ENTRIES = auto()
    RESUME = auto()
    ADD_VERSION = auto()
    REMOVE_VERSION = auto()
    CHANGE_CONTROL = auto()
    CHANGE_ROUTE = auto()


class Record(Enum):
    """Which members receive the record of the stream's origin."""

    ALL = auto()
    ONE = auto()
    NONE = auto()


class ControlChange(Enum):
    """What happens to control."""

    NONE = auto()
    NEXT_LEADER = auto()
    LEADER_RESTARTS = auto()
    ALL_RESTART = auto()


class RouteChange(Enum):
    """What the operator changes of the stream's route."""

    NONE = auto()
    SHORTER_TIMEOUT = auto()
    LONGER_TIMEOUT = auto()
    OTHER_POOL = auto()


class Deadline(Enum):
    """What the client says of the time that it waits."""

    OF_ROUTE = auto()
    BEYOND_ROUTE = auto()
    NONE = auto()


WAIT_MS_BY_DEADLINE = {
    Deadline.OF_ROUTE: TIMEOUT_MS,
    Deadline.BEYOND_ROUTE: 3 * TIMEOUT_MS,
    Deadline.NONE: 3 * TIMEOUT_MS,
}
CHAIN = (Event.BEGIN, Event.KILL_ENTRIES, Event.RESUME)
OPTIONAL = (
    Event.RECORD,
    Event.ADD_VERSION,
    Event.REMOVE_VERSION,
    Event.CHANGE_CONTROL,
    Event.CHANGE_ROUTE,
)
PRECEDENCE = (
    (Event.BEGIN, Event.KILL_ENTRIES),
    (Event.KILL_ENTRIES, Event.RESUME),
    (Event.BEGIN, Event.RECORD),
    (Event.ADD_VERSION, Event.REMOVE_VERSION),
)


@dataclass(frozen=True, slots=True)
class Order:
    """One order of events, and the circumstances that stay the same in it.

    Attributes
    ----------
    members : int
    events : tuple of Event
    long_gap : int
        Number of the event before which seconds pass; before all others it is a moment.
    record : Record
    control : ControlChange
    route : RouteChange
    deadline : Deadline
    is_named : bool
        Whether the client names the request whose stream it resumes.
    """

    members: int
    events: tuple
    long_gap: int
    record: Record
    control: ControlChange
    route: RouteChange
    deadline: Deadline
    is_named: bool


@dataclass(slots=True)
class ClientRequest:
    """One request of the client that began the stream.

    Attributes
    ----------
    request_id, resumed_request_id, last_event_id : bytes
    left_ms : int or None
        The client's time left; None if it does not tell.
    """

    request_id: bytes
    resumed_request_id: bytes
    last_event_id: bytes
    left_ms: int | None

    def header(self, name):
        """Return a header's value."""
        return self.last_event_id if name == LAST_EVENT_HEADER else b""


@dataclass(slots=True)
class Outcome:
    """What became of the resumptions of one order.

    Attributes
    ----------
    resumed, refused : int
    refused_though_there : int
        Those of the refused ones whose version was there.
    joined : bool
        Whether a resumption ran at another pool or version than the stream began at.
    """

    resumed: int = 0
    refused: int = 0
    refused_though_there: int = 0
    joined: bool = False


@dataclass(slots=True)
class Counts:
    """Totals over the orders of a search.

    Attributes
    ----------
    orders, resumed, refused, refused_though_there : int
    joined : list of Order
    """

    orders: int = 0
    resumed: int = 0
    refused: int = 0
    refused_though_there: int = 0
    joined: list = field(default_factory=list)

    def add(self, order, outcome):
        """Add what became of one order.

        Parameters
        ----------
        order : Order
        outcome : Outcome
        """
        self.orders += 1
        self.resumed += outcome.resumed
        self.refused += outcome.refused
        self.refused_though_there += outcome.refused_though_there
        if outcome.joined:
            self.joined.append(order)


class Play:
    """Play one order.

    Parameters
    ----------
    order : Order
    """

    def __init__(self, order):
        self._order = order
        self._world = World(order.members)
        self._entry = Entry(self._world)
        self._first = None
        self._began_s = 0.0
        self._last_id = b""
        self._requests = 0
        self.outcome = Outcome()

    def run(self):
        """Play the events, and then a second loss of the entries and a second resumption.

        Returns
        -------
        Outcome
        """
        for number, event in enumerate(self._order.events):
            self._world.wait(LONG_GAP_S if number == self._order.long_gap else SHORT_GAP_S)
            self._happen(event)
        self._world.wait(SHORT_GAP_S)
        self._deliver_records()
        self._kill_entries()
        self._resume()
        return self.outcome

    def _happen(self, event):
        if event is Event.BEGIN:
            self._began_s = self._world.clock.seconds()
            self._first = self._send(b"").origin
        elif event is Event.RECORD:
            self._deliver_records()
        elif event is Event.KILL_ENTRIES:
            self._kill_entries()
        elif event is Event.RESUME:
            self._resume()
        elif event is Event.ADD_VERSION:
            self._world.put_endpoint("y", POOL, NEW)
        elif event is Event.REMOVE_VERSION:
            self._world.delete_endpoint("x")
        elif event is Event.CHANGE_CONTROL:
            self._change_control()
        else:
            self._change_route()

    def _deliver_records(self):
        if self._order.record is Record.ALL:
            self._world.deliver_records()
        elif self._order.record is Record.ONE:
            self._world.deliver_records({self._world.members[-1].address.node_address})

    def _kill_entries(self):
        self._entry = Entry(self._world)

    def _change_control(self):
        if self._order.control is ControlChange.NEXT_LEADER:
            self._world.move_lease()
        elif self._order.control is ControlChange.LEADER_RESTARTS:
            self._world.members[0].restart()
        elif self._order.control is ControlChange.ALL_RESTART:
            for member in self._world.members:
                member.restart()

    def _change_route(self):
        if self._order.route is RouteChange.SHORTER_TIMEOUT:
            self._world.submit_route(POOL, SHORT_TIMEOUT_MS)
        elif self._order.route is RouteChange.LONGER_TIMEOUT:
            self._world.submit_route(POOL, LONG_TIMEOUT_MS)
        elif self._order.route is RouteChange.OTHER_POOL:
            self._world.submit_route(OTHER_POOL, TIMEOUT_MS)

    def _resume(self):
        if self._first is None:
            return
        exchange = self._send(LAST_EVENT_ID)
        if exchange is None:
            return
        if exchange.origin is None:
            self.outcome.refused += 1
            self.outcome.refused_though_there += self._is_there()
            return
        self.outcome.resumed += 1
        self.outcome.joined |= exchange.origin != self._first

    def _send(self, last_event_id):
        wait_ms = WAIT_MS_BY_DEADLINE[self._order.deadline]
        waited_s = self._world.clock.seconds() - self._began_s
        left_ms = wait_ms - int(waited_s * MS_PER_S)
        if left_ms <= 0:
            return None
        self._requests += 1
        request_id = b"%d" % self._requests
        resumed_id = self._last_id if self._order.is_named else b""
        stated_ms = None if self._order.deadline is Deadline.NONE else left_ms
        request = ClientRequest(request_id, resumed_id, last_event_id, stated_ms)
        exchange = self._entry.handle(request)
        if exchange.origin is not None:
            self._last_id = request_id
        return exchange

    def _is_there(self):
        pools = [target.pool for target in self._world.table.route_by_name["live"].pools]
        for row in self._world.table.endpoint_by_id.values():
            if (row.pool, row.software_version) == (
                self._first.pool,
                self._first.software_version,
            ):
                return row.pool in pools
        return False


def event_orders(events):
    """Yield the permutations of events in which none precedes what it follows from.

    Parameters
    ----------
    events : tuple of Event
    """
    for order in itertools.permutations(events):
        position = {event: number for number, event in enumerate(order)}
        if all(
            position[first] < position[second]
            for first, second in PRECEDENCE
            if first in position and second in position
        ):
            yield order


def all_orders():
    """Yield each Order of the search; control and the route do not change in the same one."""
    changes = [(control, RouteChange.NONE) for control in ControlChange]
    changes.extend((ControlChange.NONE, route) for route in RouteChange)
    changes.remove((ControlChange.NONE, RouteChange.NONE))
    for members, record, (control, route) in itertools.product((3, 5), Record, changes):
        left_out = set()
        if record is Record.NONE:
            left_out.add(Event.RECORD)
        if control is ControlChange.NONE:
            left_out.add(Event.CHANGE_CONTROL)
        if route is RouteChange.NONE:
            left_out.add(Event.CHANGE_ROUTE)
        events = CHAIN + tuple(event for event in OPTIONAL if event not in left_out)
        for order in event_orders(events):
            for gap, deadline, is_named in itertools.product(
                range(len(order)), Deadline, (True, False)
            ):
                yield Order(members, order, gap, record, control, route, deadline, is_named)


def search(every=1, first=0):
    """Play orders.

    Parameters
    ----------
    every : int, optional
        Play one order of so many.
    first : int, optional
        Number of the first order to play.

    Returns
    -------
    Counts
    """
    counts = Counts()
    for order in itertools.islice(all_orders(), first, None, every):
        counts.add(order, Play(order).run())
    return counts


if __name__ == "__main__":
    found = search()
    print(
        f"{found.orders} orders: resumed {found.resumed}, refused {found.refused}, of these "
        f"{found.refused_though_there} though their version was there; joined {len(found.joined)}"
    )
    for joined in found.joined[:10]:
        print(joined)
