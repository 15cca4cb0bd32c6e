"""Play changes of the routing table to nodes whose connections to control go silent."""

import random
from dataclasses import dataclass

from benchmarks.link_network import Direction, LinkNetwork
from benchmarks.link_processes import MEMBERS, START_S, Member, Node
from hemlockdock_control.state import ClusterStateMachine, encode_command
from hemlockdock_core.commands import RecordEndpoints
from hemlockdock_core.rows import EndpointRow
from hemlockdock_core.settings import parse_settings

CONTROL_SETTINGS = (
    "[process]\nnode_id = c\nroles = control\nhost = h\nfailure_domain = d\ndata_folder = .\n"
    "[control]\nmembers = c@tcp://127.0.0.1:1@tcp://127.0.0.1:2\n"
)
TICK_S = 0.01
# Nodes have found the leader by then.
SETTLED_S = 3.0


@dataclass(frozen=True, slots=True)
class LinkScenario:
    """What is played.

    Attributes
    ----------
    entries : int
    leader : int
        Index of the leader among the members.
    direction : Direction
        Direction of the connections that go silent.
    silent_s : tuple of float
        When open connections go silent.
    paused_s : float
        For how long the leader does not run, at ``pause_at_s``.
    pause_at_s : float
    pauses_entry : bool
        Whether an entry is paused in the place of the leader.
    rows : int
        Endpoints in the routing table at the beginning.
    bytes_per_s : float or None
        What each connection carries; None for any number.
    change_s : float
        Time between two changes of the routing table; 0 for none.
    play_s : float
    """

    entries: int
    leader: int = 0
    direction: Direction = Direction.BOTH
    silent_s: tuple = ()
    paused_s: float = 0.0
    pause_at_s: float = 8.0
    pauses_entry: bool = False
    rows: int = 10
    bytes_per_s: float | None = None
    change_s: float = 0.25
    play_s: float = 24.0


@dataclass(slots=True)
class LinkResult:
    """What a play showed.

    Attributes
    ----------
    slowest_s : float
        Longest time from a change, or from the silence before it, to the change being in force at
        the last entry.
    changes, missed : int
        Changes made, and those that an entry never had.
    out_of_touch_s : float
        Longest time for which a node's heartbeats were not confirmed.
    opened_after_event : int
        Connections opened after the first silence or pause.
    lost : int
        Frames that no process received.
    """

    slowest_s: float = 0.0
    changes: int = 0
    missed: int = 0
    out_of_touch_s: float = 0.0
    opened_after_event: int = 0
    lost: int = 0


class LinkRounds:
    """Control members and entries on virtual time.

    Parameters
    ----------
    seed : int
    scenario : LinkScenario
    """

    def __init__(self, seed, scenario):
        rng = random.Random(seed)
        self._scenario = scenario
        self._network = LinkNetwork(scenario.bytes_per_s)
        self._machine = ClusterStateMachine(parse_settings(CONTROL_SETTINGS, "control"))
        self._index = 0
        for number in range(scenario.rows):
            self._change(number)
        leader_ip = MEMBERS[scenario.leader]
        self._members = [Member(self._network, ip, leader_ip, self._machine, rng) for ip in MEMBERS]
        self._nodes = [Node(self._network, number, rng) for number in range(scenario.entries)]
        # The table at the beginning is judged like a change.
        self._pending = [[self._machine.state.changes.revision, START_S]]
        self.result = LinkResult()

    def play(self):
        """Play the scenario.

        Returns
        -------
        LinkResult
        """
        scenario = self._scenario
        silences = list(scenario.silent_s)
        paused = not scenario.paused_s
        next_change_s = 2.0
        opened = 0
        began_s = min([*silences, scenario.pause_at_s])
        seen_begin = False
        while self._network.seconds() < scenario.play_s:
            now_s = self._network.seconds()
            if not seen_begin and now_s >= began_s:
                seen_begin = True
                opened = self._network.opened
            if silences and now_s >= silences[0]:
                self._network.silence({node.address for node in self._nodes}, scenario.direction)
                self._restart_pending(silences.pop(0))
            if not paused and now_s >= scenario.pause_at_s:
                paused = True
                self._pause(now_s)
            if scenario.change_s and next_change_s <= now_s < scenario.play_s - 4.0:
                next_change_s += scenario.change_s
                self._change(self._index)
                self._pending.append([self._machine.state.changes.revision, now_s])
                self.result.changes += 1
            self._network.advance(TICK_S)
            self._note_in_force()
            self._note_contact()
        self.result.missed = len(self._pending)
        self.result.lost = self._network.lost
        self.result.opened_after_event = self._network.opened - opened
        return self.result

    def _pause(self, now_s):
        scenario = self._scenario
        process = self._nodes[0] if scenario.pauses_entry else self._members[scenario.leader]
        process.reactor.frozen_until_s = now_s + scenario.paused_s

    def _restart_pending(self, silent_s):
        for change in self._pending:
            change[1] = silent_s

    def _change(self, number):
        self._index += 1
        row = EndpointRow(
            f"endpoint-{number}", "lm", f"127.1.0.1:{number + 1}", "d", 8, False, (), "", (), None
        )
        command = encode_command(RecordEndpoints((row,), (), self._index))
        self._machine.apply(self._index, command)

    def _note_in_force(self):
        now_s = self._network.seconds()
        oldest = min(node.link.table.revision for node in self._nodes)
        while self._pending and self._pending[0][0] <= oldest:
            _, since_s = self._pending.pop(0)
            self.result.slowest_s = max(self.result.slowest_s, now_s - since_s)

    def _note_contact(self):
        if self._network.seconds() < SETTLED_S:
            return
        for node in self._nodes:
            seconds = node.link.seconds_since_heartbeat
            if seconds is None:
                seconds = self._network.seconds()
            self.result.out_of_touch_s = max(self.result.out_of_touch_s, seconds)
