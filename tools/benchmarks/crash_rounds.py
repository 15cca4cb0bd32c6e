"""Play prompts with a part that crashes engines against entries and a control state."""

import random
from functools import partial

import msgspec
from twisted.internet.defer import Deferred

from benchmarks.crash_network import ONE_WAY_S, ClientTransport, Engine, Network
from benchmarks.crash_result import WINDOW_S, RoundResult
from benchmarks.limit_control import endpoint_row
from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.messages import CrashNotice, SoundNotice
from hemlockdock_core.rows import (
    EngineSpec,
    LimitsRow,
    ModelSpec,
    PoolRow,
    ResidentModel,
    RouteKind,
    RouteRow,
    RoutingTable,
    WeightedPool,
)
from hemlockdock_core.settings import parse_settings
from hemlockdock_core.wire import own
from hemlockdock_entry.gateway.client_connection import ClientConnection
from hemlockdock_entry.gateway.gateway import Gateway
from hemlockdock_entry.routing import handle_notice

ENTRY_SETTINGS = (
    "[process]\nnode_id = entry-{number}\nroles = entry\nhost = h\nfailure_domain = d\n"
    "[listen]\nlinks = tcp://127.0.0.1:1\nready = 127.0.0.1:2\n"
    "[fleet]\nseeds = 127.0.0.9:1\nretry_slack = 56\n"
)
CONTROL_SETTINGS = (
    "[process]\nnode_id = c\nroles = control\nhost = h\nfailure_domain = d\ndata_folder = .\n"
    "[control]\nmembers = c@tcp://127.0.0.1:1@tcp://127.0.0.1:2\n"
)
ENGINES = 9
COMMIT_S = 0.02
# Control learns of a new engine later than of what entries report.
DIRECTORY_LAG_S = 0.8
TICK_S = 0.005
MAINTENANCE_S = 0.5
CLIENT_S = 10.0
WARM_UP_S = 10.0
BAD_S = 30.0
SOUND_PER_S = 20.0
BAD_PER_S = 2.0
SUBJECTS = 25
FIRST_PART = "first"
BAD_PART = "bad"
MODELS = (ResidentModel("m", 1),)
STREAM_PREFIX = "/live/"


class Link:
    """An entry's link to control.

    Parameters
    ----------
    rounds : CrashRounds
    entries : int
    """

    def __init__(self, rounds, entries):
        self.table = RoutingTable()
        self.entries = entries
        self.reported_entries = entries
        self.capacity_ratio = 1.0
        self.issues_permits = False
        self.origin_members = []
        self._rounds = rounds

    def send(self, message):
        """Drop a report on demand."""

    def leader_answers_within(self, seconds):
        """Tell that there is no leader that issues permits."""
        return False

    def propose(self, command, timeout_ms):
        """Propose a command to control."""
        return self._rounds.propose(command)


class CrashRounds:
    """Entries, engines, clients and control on virtual time.

    Parameters
    ----------
    seed : int
    entries : int
    in_touch : bool
        Whether control hears what entries report.
    repeats_one : bool
        Whether the bad requests are one request, sent again and again.
    lost_s : tuple of float
        From when to when control is out of touch; never, by default.
    """

    def __init__(self, seed, entries, in_touch=True, repeats_one=False, lost_s=(0.0, 0.0)):
        self._random = random.Random(seed)
        self._in_touch = in_touch
        self._repeats_one = repeats_one
        self._lost_s = lost_s
        self._network = Network()
        self._machine = ClusterStateMachine(parse_settings(CONTROL_SETTINGS, "control"))
        self._index = 0
        self._published = {}
        self._requests = 0
        self._clients = []
        self.result = RoundResult()
        self._links = [Link(self, entries) for _ in range(entries)]
        self._gateways = [self._gateway(number, link) for number, link in enumerate(self._links)]
        for number, gateway in enumerate(self._gateways):
            others = [str(other) for other in range(entries) if other != number]
            gateway.other_entries.update(others)
        bad = BAD_PART.encode()
        for number in range(ENGINES):
            Engine(self._network, number + 1, bad, self._on_run, self._on_crash, self._on_restart)
        self._publish_routes()

    def play(self):
        """Play sound requests throughout, and bad ones after a while; return a RoundResult."""
        now_s = 0.0
        next_sound_s = 0.0
        next_bad_s = WARM_UP_S
        next_maintenance_s = 0.0
        while now_s < WARM_UP_S + BAD_S:
            if now_s >= next_sound_s:
                self._send_sound(now_s)
                next_sound_s += self._random.expovariate(SOUND_PER_S)
            if now_s >= next_bad_s:
                self._send_bad()
                next_bad_s += self._random.expovariate(BAD_PER_S)
            if now_s >= next_maintenance_s:
                next_maintenance_s += MAINTENANCE_S
                for gateway in self._gateways:
                    gateway.run_maintenance()
            self._network.advance(TICK_S)
            now_s = self._network.seconds()
            self._note_refusals(now_s)
        self._network.pump([TICK_S] * int(CLIENT_S / TICK_S))
        self._judge_sound()
        return self.result

    def propose(self, command):
        """Commit a command after a while, if control is in touch.

        Parameters
        ----------
        command : Command

        Returns
        -------
        Deferred
        """
        outcome = Deferred()
        if self._in_touch:
            self._commit_in_touch(command, outcome)
        return outcome

    def _commit_in_touch(self, command, outcome):
        """Commit a command; a node repeats one that control did not hear."""
        now_s = self._network.seconds()
        lost_from_s, lost_until_s = self._lost_s
        if lost_from_s <= now_s < lost_until_s:
            self._network.callLater(lost_until_s - now_s, self._commit_in_touch, command, outcome)
            return
        self._network.callLater(COMMIT_S, self._commit, command, outcome)

    def _commit(self, command, outcome):
        self._index += 1
        command = msgspec.structs.replace(command, at_ms=self._wall_ms())
        result = self._machine.apply(self._index, encode_command(command))
        records = self._machine.state.crashes.suspect_by_fingerprint.values()
        wanted = {record.row().key: record.row() for record in records}
        for link, gateway in zip(self._links, self._gateways, strict=True):
            for key in self._published.keys() - wanted.keys():
                link.table.delete(key)
            for row in wanted.values():
                link.table.put(row)
            gateway.table_changed()
        self._published = wanted
        outcome.callback(result)

    def _wall_ms(self):
        return 1_000_000 + round(self._network.seconds() * 1_000)

    def _gateway(self, number, link):
        settings = parse_settings(ENTRY_SETTINGS.format(number=number), "entry")
        send = partial(self._send_notice, f"entry-{number}")
        gateway = Gateway(self._network, settings, own.WIRE, send, self._random)
        gateway.quarantine.read_wall_ms = self._wall_ms
        gateway.attach_link(link)
        return gateway

    def _send_notice(self, sender, address, message):
        """Deliver a message to another entry; those to agents and control members are dropped."""
        if isinstance(message, CrashNotice | SoundNotice):
            quarantine = self._gateways[int(address)].quarantine
            self._network.callLater(ONE_WAY_S, handle_notice, message, sender, quarantine)

    def _publish_routes(self):
        models = (ModelSpec("m", 10.0, 4, 1.0, 6_000, 300, 500),)
        engine = EngineSpec(32, 90_000, 1, 80.0, 4, 0.0, 0.0, 1.0, models)
        route = RouteRow(
            "live",
            "h",
            STREAM_PREFIX,
            RouteKind.STREAM,
            12_000,
            500,
            1,
            (WeightedPool("lm", 1.0),),
            2,
            False,
            True,
            200,
        )
        for link, gateway in zip(self._links, self._gateways, strict=True):
            link.table.put(LimitsRow(1, 16_384, 4_194_304, 3_000, 15_000))
            link.table.put(PoolRow("lm", "/", 240, engine))
            link.table.put(route)
            for item in self._network.engine_by_port.values():
                link.table.put(endpoint_row(item, "lm", MODELS))
            gateway.table_changed()

    def _on_run(self, parts):
        if BAD_PART.encode() in parts:
            self.result.bad_sends_s.append(self._network.seconds())

    def _on_crash(self, engine):
        self.result.crash_times_s.append(self._network.seconds())
        self._network.callLater(DIRECTORY_LAG_S, self._delist, engine.endpoint_id)

    def _on_restart(self, engine):
        self._network.callLater(DIRECTORY_LAG_S, self._list, engine)

    def _delist(self, endpoint_id):
        for link, gateway in zip(self._links, self._gateways, strict=True):
            link.table.delete(f"endpoint/{endpoint_id}")
            gateway.table_changed()

    def _list(self, engine):
        for link, gateway in zip(self._links, self._gateways, strict=True):
            link.table.put(endpoint_row(engine, "lm", MODELS))
            gateway.table_changed()

    def _send_bad(self):
        if not self._repeats_one:
            self._send(FIRST_PART, BAD_PART)
            return
        self._requests += 1
        self._send_request("bad", f"{FIRST_PART}:50,{BAD_PART}:50")

    def _send_sound(self, now_s):
        subject = f"subject-{self._random.randrange(SUBJECTS)}"
        self._clients.append((now_s, self._send(FIRST_PART, subject)))

    def _send(self, *parts):
        self._requests += 1
        number = self._requests
        listed = ",".join(f"{part}:50" for part in (*parts, f"own-{number}"))
        return self._send_request(str(number), listed)

    def _send_request(self, path, listed):
        gateway = self._random.choice(self._gateways)
        connection = ClientConnection(gateway)
        transport = ClientTransport()
        connection.makeConnection(transport)
        connection.dataReceived(
            b"POST %b%b HTTP/1.1\r\nHost: h\r\nX-Request-Id: %d\r\nX-Time-Left-Ms: %d\r\n"
            b"X-Use-Model: m\r\nX-Prompt-Parts: %b\r\n\r\n"
            % (
                STREAM_PREFIX.encode(),
                path.encode(),
                self._requests,
                CLIENT_S * 1_000,
                listed.encode(),
            )
        )
        return transport

    def _note_refusals(self, now_s):
        for number, gateway in enumerate(self._gateways):
            if number in self.result.refused_s_by_entry:
                continue
            if gateway.quarantine.refuses_part(BAD_PART):
                self.result.refused_s_by_entry[number] = now_s

    def _judge_sound(self):
        crash_times_s = self.result.crash_times_s
        for sent_s, transport in self._clients:
            answered = transport.value().endswith(b"0\r\n\r\n")
            if sent_s + 1.0 < crash_times_s[0]:
                self.result.sound_before.append(answered)
            elif sent_s > crash_times_s[-1] + 2 * WINDOW_S:
                self.result.sound_after.append(answered)
