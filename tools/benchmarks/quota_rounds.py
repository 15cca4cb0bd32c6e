"""Play a customer's traffic through several entries that share its quota with the leader."""

import random
from dataclasses import dataclass
from enum import StrEnum
from types import SimpleNamespace

from benchmarks.crash_network import Network
from benchmarks.limit_control import COMMIT_S, LimitControl, Link
from benchmarks.limit_network import EntryReactor
from hemlockdock_control.quotas import QuotaLedger
from hemlockdock_core.errors import ErrorKind
from hemlockdock_core.messages import NODE_CODEC, QuotaRequest, QuotaReturn
from hemlockdock_core.messages.frame import PROTOCOL_VERSION, Frame
from hemlockdock_core.quota_bounds import OVERUSE_FACTOR, OVERUSE_TOKENS, WINDOW_S
from hemlockdock_core.rows import CustomerRow, TokenQuota
from hemlockdock_core.wire.own import HEADERS
from hemlockdock_entry.customers.quota_client import QuotaClient
from hemlockdock_entry.customers.token_charge import TokenCharge

NAME = "acme"
TICK_S = 0.005
MAINTENANCE_S = 0.5
WARM_UP_S = 4.0
FREEZE_S = 3.0
DRAIN_S = 2.0
# A lower quota is enforced within one window.
CHANGE_FACTOR = 0.4
# Tokens, time to the target and deadline of the requests of a customer, by how many there are.
REQUESTS = (
    (995.0, 0.505, 12.1),
    (425.0, 0.504, 4.0),
    (995.0, 5.005, 20.0),
    (100.0, 0.130, 0.62),
)
# A client that was sent back gives up with less time left.
MIN_LEFT_S = 0.05


class QuotaEvent(StrEnum):
    """What happens in the middle of a play.

    A CUT disconnects one entry from control, NO_CONTROL all of them. LOWER and RAISE change the
    quota.
    """

    NONE = ""
    FREEZE = "freeze"
    LEADER = "leader"
    CUT = "cut"
    NO_CONTROL = "no_control"
    LOWER = "lower"
    RAISE = "raise"


@dataclass(frozen=True, slots=True)
class QuotaScenario:
    """Quota and traffic of a customer, and an event.

    Attributes
    ----------
    entries : int
    per_s, burst : float
        The quota.
    load : float
        Tokens that are asked for in first requests, as a multiple of the quota.
    uneven : bool
        Whether all requests come to one entry.
    returning : bool
        Whether clients that are refused come back.
    play_s : float
    event : QuotaEvent
    """

    entries: int
    per_s: float
    burst: float
    load: float = 3.0
    uneven: bool = False
    returning: bool = True
    play_s: float = 32.0
    event: QuotaEvent = QuotaEvent.NONE


@dataclass(slots=True)
class QuotaResult:
    """Figures of a play.

    Attributes
    ----------
    excess : float
        Most tokens in any window, as a share of what is allowed.
    used : float
        Share of the quota that was used.
    sent, refused, unanswered : int
        Requests that reached an endpoint, and those that were refused with 429 and with 503.
    returned, kept : int
        Requests of clients that retried when told, and how many of these were served.
    slowest_refusal_s : float
    messages_per_request : float
        Messages to the leader.
    reply_bytes_per_s : float
        Most that the leader sent any entry, on average.
    """

    excess: float = 0.0
    used: float = 0.0
    sent: int = 0
    refused: int = 0
    unanswered: int = 0
    returned: int = 0
    kept: int = 0
    slowest_refusal_s: float = 0.0
    messages_per_request: float = 0.0
    reply_bytes_per_s: float = 0.0


class QuotaLink(Link):
    """An entry's link to the leader that keeps the ledger."""

    reply_bytes = 0

    def receive(self, message):
        """Pass the leader's reply to the entry."""
        if self.in_touch:
            frame = Frame(PROTOCOL_VERSION, "member-1", 1, "", message)
            self.reply_bytes += len(NODE_CODEC.encode(frame))
            self._reactor.send(self.gateway.quotas.on_reply, message)


class QuotaControl(LimitControl):
    """The leader of control, with its ledger."""

    def __init__(self, network):
        super().__init__(network)
        self._ledger = QuotaLedger(0.0)
        self._manifest = None
        self.received = 0

    def set_quota(self, quota):
        """Activate a manifest with a quota."""
        row = CustomerRow(NAME, (), 0, quota)
        self._manifest = SimpleNamespace(customers=(row,))
        self.network.callLater(COMMIT_S, self._push, [row])

    def receive(self, link, message):
        """Handle a message of an entry as ``FleetNodes`` does."""
        if not self.leads:
            return
        now_s = self.network.seconds()
        if isinstance(message, QuotaReturn):
            self._ledger.give_back(message)
        elif isinstance(message, QuotaRequest):
            self.received += 1
            roster = self._limits.roster
            roster.record_message(link.entry_id, now_s)
            roster.record_reported(message.entries)
            self._ledger.update(self._manifest)
            link.receive(self._ledger.answer(message, roster.counts(now_s), now_s))

    def _elected(self):
        super()._elected()
        self._ledger.clear(self.network.seconds())


class QuotaEntry:
    """The parts of an entry's gateway that its QuotaClient uses."""

    def __init__(self, control, number, random_source):
        self.clock = EntryReactor(control.network)
        self.link = QuotaLink(control, f"entry-{number}", self.clock)
        self.link.gateway = self
        self.headers = HEADERS
        self.quotas = QuotaClient(self, random_source)
        control.links.append(self.link)

    @property
    def table(self):
        """Return the RoutingTable."""
        return self.link.table

    def table_changed(self):
        """Apply a change of the routing table."""
        self.quotas.table_changed()

    def send_to_leader(self, message):
        """Send a message to the leader."""
        self.link.send(message)


class QuotaExchange:
    """A request of a client at an entry, as far as the QuotaClient uses it."""

    def __init__(self, rounds, entry, client):
        self._rounds = rounds
        self._entry = entry
        self.client = client
        self.received_s = rounds.now_s()
        self.customer = entry.table.customer_by_name[NAME]
        self.token_charge = TokenCharge()
        self.ended = False
        self.may_have_run = False
        self.tried_ids = set()
        self.deadline_s = client.deadline_s
        self.target_s = self.received_s + client.target_s
        self.content = SimpleNamespace(fingerprint=f"{client.number:012x}")
        self.request = self

    @property
    def left_s(self):
        """Return the time left, in seconds."""
        return self.deadline_s - self.now_s()

    @property
    def may_wait_s(self):
        """Return how long the request may wait for an endpoint, in seconds."""
        return max(0.0, min(self.target_s, self.deadline_s) - self.now_s())

    def now_s(self):
        """Return the time, in seconds."""
        return self._entry.clock.seconds()

    def header(self, name):
        """Return the numbers of tokens that the client states."""
        return b"%d,0" % self.client.tokens

    def begin(self):
        """Charge the request, as ``ProxyExchange`` does."""
        if self._entry.quotas.charge(self):
            self.dispatch()

    def dispatch(self):
        """Send the request to an endpoint."""
        self.ended = True
        self.tried_ids.add("endpoint")
        self._rounds.arrived(self)

    def refuse(self, refusal):
        """Refuse the request."""
        self.ended = True
        self._rounds.refused(self, refusal)


@dataclass(slots=True)
class Client:
    """A client that repeats its request when told.

    Attributes
    ----------
    number : int
    tokens, target_s, deadline_s : float
    was_told : bool
        Whether it came back at the time that a 429 named.
    """

    number: int
    tokens: float
    target_s: float
    deadline_s: float
    was_told: bool = False


class QuotaRounds:
    """Entries, the leader and clients on virtual time.

    Parameters
    ----------
    seed : int
    scenario : QuotaScenario
    """

    def __init__(self, seed, scenario):
        self._random = random.Random(seed)
        self._scenario = scenario
        self._network = Network()
        self._control = QuotaControl(self._network)
        self._quota = TokenQuota(scenario.per_s, scenario.burst, 100.0)
        self._entries = []
        for number in range(scenario.entries):
            self._entries.append(QuotaEntry(self._control, number, self._random))
        self._control.set_quota(self._quota)
        self._arrivals = []
        self._clients = 0
        self._result = QuotaResult()

    def now_s(self):
        """Return the time, in seconds."""
        return self._network.seconds()

    def play(self):
        """Play the scenario.

        Returns
        -------
        QuotaResult
        """
        scenario = self._scenario
        end_s = WARM_UP_S + scenario.play_s
        mean = sum(tokens for tokens, _, _ in REQUESTS) / len(REQUESTS)
        clients_per_s = scenario.load * scenario.per_s / mean
        self._network.callLater(WARM_UP_S + scenario.play_s / 2, self._happen)
        next_client_s = WARM_UP_S
        next_maintenance_s = 0.0
        while self.now_s() < end_s + DRAIN_S:
            now_s = self.now_s()
            while now_s >= next_client_s and now_s < end_s:
                tokens, target_s, timeout_s = self._random.choice(REQUESTS)
                self._clients += 1
                self._send(Client(self._clients, tokens, target_s, now_s + timeout_s))
                next_client_s += self._random.expovariate(clients_per_s)
            if now_s >= next_maintenance_s:
                next_maintenance_s += MAINTENANCE_S
                for entry in self._entries:
                    entry.clock.callLater(0, entry.quotas.run_maintenance)
            self._network.advance(TICK_S)
        return self._judge(end_s)

    def arrived(self, exchange):
        """Record that a request reached an endpoint."""
        client = exchange.client
        self._arrivals.append((exchange.received_s, self.now_s(), client.tokens))
        self._result.sent += 1
        self._result.returned += client.was_told
        self._result.kept += client.was_told

    def refused(self, exchange, refusal):
        """Record a refusal; the client returns if it has the time."""
        client = exchange.client
        now_s = self.now_s()
        is_over = refusal.kind is ErrorKind.QUOTA_EXCEEDED
        self._result.refused += is_over
        self._result.unanswered += not is_over
        self._result.returned += client.was_told
        held_s = now_s - exchange.received_s
        self._result.slowest_refusal_s = max(self._result.slowest_refusal_s, held_s)
        told_s = refusal.retry_after_ms / 1_000
        after_s = min(told_s, (client.deadline_s - now_s) / 3)
        if self._scenario.returning and after_s >= MIN_LEFT_S:
            client.was_told = is_over and told_s == after_s
            self._network.callLater(after_s, self._send, client)

    def _send(self, client):
        entry = self._entries[0] if self._scenario.uneven else self._random.choice(self._entries)
        entry.clock.callLater(0, QuotaExchange(self, entry, client).begin)

    def _happen(self):
        event = self._scenario.event
        if event is QuotaEvent.FREEZE:
            self._entries[0].clock.frozen_until_s = self.now_s() + FREEZE_S
        elif event is QuotaEvent.LEADER:
            self._control.change_leader()
        elif event in (QuotaEvent.CUT, QuotaEvent.NO_CONTROL):
            for link in self._control.links[: 1 if event is QuotaEvent.CUT else None]:
                link.in_touch = False
        elif event in (QuotaEvent.LOWER, QuotaEvent.RAISE):
            factor = CHANGE_FACTOR if event is QuotaEvent.LOWER else 1 / CHANGE_FACTOR
            self._quota = TokenQuota(
                self._quota.per_s * factor, self._quota.burst * factor, self._quota.default_tokens
            )
            self._control.set_quota(self._quota)

    def _judge(self, end_s):
        scenario = self._scenario
        result = self._result
        middle_s = WARM_UP_S + scenario.play_s / 2
        before = TokenQuota(scenario.per_s, scenario.burst, 0.0)
        result.excess = _excess(self._arrivals, before, 0.0, middle_s)
        # A lower quota is enforced within one window; nothing else has such a time.
        settled_s = middle_s + WINDOW_S if scenario.event is QuotaEvent.LOWER else 0.0
        later = _excess(self._arrivals, self._quota, settled_s, end_s + DRAIN_S)
        result.excess = max(result.excess, later)
        begin_s = WARM_UP_S + 1.0
        used = sum(tokens for _, at_s, tokens in self._arrivals if begin_s <= at_s < end_s)
        result.used = used / (scenario.per_s * (end_s - begin_s))
        result.messages_per_request = self._control.received / max(1, result.sent + result.refused)
        most = max(link.reply_bytes for link in self._control.links)
        result.reply_bytes_per_s = most / scenario.play_s
        return result


def _excess(arrivals, quota, begin_s, end_s):
    """Return the most tokens received and sent on in a window, as a share of those allowed."""
    inside = [item for item in arrivals if item[0] >= begin_s and item[1] < end_s]
    inside.sort()
    most = 0.0
    for position, (window_s, _, _) in enumerate(inside):
        tokens = 0.0
        for received_s, at_s, each in inside[position:]:
            if received_s >= window_s + WINDOW_S:
                break
            tokens += each * (at_s < window_s + WINDOW_S)
        most = max(most, tokens)
    allowed = (quota.per_s * WINDOW_S + quota.burst) * OVERUSE_FACTOR + OVERUSE_TOKENS
    return most / allowed
