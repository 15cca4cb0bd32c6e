"""Simulation of the control members of a fleet: whole Replicators on simulated hosts and links."""

import random
import tempfile
import types
from pathlib import Path
from unittest import mock

from support_consensus import ListStateMachine, TurnClock
from support_disk import MemoryDisk

from hemlockdock_control.consensus import replicator as replicator_module
from hemlockdock_control.consensus.events import TransferRequested
from hemlockdock_control.consensus.replicator import Replicator
from hemlockdock_core.settings import parse_settings

STEP_MS = 10.0
MS_PER_S = 1_000.0
SETTINGS = """
[process]
node_id = {ip}
roles = control
host = {ip}
failure_domain = d
data_folder = {folder}
[listen]
links = tcp://{ip}:7380
[control]
heartbeat_ms = 80
election_ms = 400
[fleet]
seeds = {seeds}
first_start = {first_start}
tolerated_losses = {tolerated_losses}
directory = 127.0.0.9:1
"""


class SimulatedLinks:
    """Stands in for PeerLinks."""

    def __init__(self, fleet, settings, on_message, member_id, address):
        self.address = address
        self.on_message = on_message
        self.member_id = member_id
        self._fleet = fleet
        self._address_by_id = {m.member_id: m.peer_address for m in settings.members}

    def update_address(self, member_id, address):
        self._address_by_id[member_id] = address

    def update_addresses(self, configuration):
        for member in configuration.members:
            if member.member_id != self.member_id:
                self._address_by_id[member.member_id] = member.address

    def send(self, member_id, message):
        address = self._address_by_id.get(member_id)
        if address is not None:
            self._fleet.in_flight.append((self, address, message))

    def reconnect_silent(self, now_ms, silent_ms):
        pass

    def record_contact(self, member_id, now_ms):
        pass

    def close(self):
        pass


class FleetStateMachine(ListStateMachine):
    def reset(self):
        self.commands = []


class SimulatedHost:
    """A control host: its process, its disk and its place in the network."""

    def __init__(self, fleet, ip):
        self.ip = ip
        self.disk = MemoryDisk()
        self.is_cut = False
        self.clock = TurnClock()
        self.replicator = None
        self.state_machine = None
        self.stopped = None
        self.disk_since_ms = fleet.now_ms
        self._fleet = fleet

    @property
    def is_up(self):
        return self.replicator is not None

    @property
    def address(self):
        return f"tcp://{self.ip}:7381"

    @property
    def links(self):
        return self.replicator._links

    @property
    def leads(self):
        return self.is_up and self.replicator.is_leader

    def start(self, first_start=False):
        fleet = self._fleet
        fleet.on_start()
        text = SETTINGS.format(
            ip=self.ip,
            folder=fleet.folder_of(self.ip),
            seeds=",".join(f"{ip}:80" for ip in fleet.seeds),
            first_start=first_start,
            tolerated_losses=fleet.tolerated_losses,
        )
        self.clock = TurnClock()
        self.state_machine = FleetStateMachine()
        settings = parse_settings(text, "test")
        self.stopped = None
        started = Replicator(self.clock, settings, self.state_machine, now_ms=lambda: fleet.now_ms)
        started.start()
        self.replicator = started

    def kill(self):
        """End the process without notice, with a loss of power."""
        if not self.is_up:
            return
        if self.replicator._task is not None:
            self.replicator._task.stop()
        self.replicator = None
        self.disk.crash(self._fleet.rng)

    def wipe(self):
        self.disk = MemoryDisk()
        self.disk_since_ms = self._fleet.now_ms

    def stop(self):
        """Send SIGTERM; the process ends once its replicator has stopped."""
        if self.is_up and self.stopped is None:
            self.stopped = self.replicator.stop()
            self.stopped.addCallback(self._ended)

    def _ended(self, _):
        self.replicator = None

    def transfer(self):
        if self.leads:
            self.replicator._task.post(TransferRequested())


class FleetSimulation:
    """The control hosts of a fleet, which follow one clock and one random source."""

    def __init__(self, seed, tolerated_losses=1, stated=True):
        self.rng = random.Random(seed)
        self.now_ms = 10_000.0
        self.loss_limit = tolerated_losses
        self.tolerated_losses = tolerated_losses if stated else 0
        self.in_flight = []
        self.cut_pairs = set()
        self.host_by_ip = {}
        self.acknowledged = []
        self.on_start = lambda: None
        self._proposed = 0
        self._folder = tempfile.TemporaryDirectory()
        self._patches = (
            mock.patch.object(replicator_module, "Disk", self._disk),
            mock.patch.object(replicator_module, "PeerLinks", self._open_links),
            mock.patch.object(replicator_module, "random", self._random_module()),
        )
        first = [self.add_host() for _ in range(2 * tolerated_losses + 1)]
        self.seeds = [host.ip for host in first[:3]]

    def __enter__(self):
        for patch in self._patches:
            patch.start()
        return self

    def __exit__(self, *_):
        for patch in self._patches:
            patch.stop()
        self._folder.cleanup()

    def folder_of(self, ip):
        """Return the folder named in a host's settings, which has to exist and stays empty."""
        folder = Path(self._folder.name) / ip
        folder.mkdir(exist_ok=True)
        return folder

    def add_host(self):
        ip = f"127.0.1.{len(self.host_by_ip) + 1}"
        self.host_by_ip[ip] = SimulatedHost(self, ip)
        return self.host_by_ip[ip]

    @property
    def up(self):
        return [host for host in self.host_by_ip.values() if host.is_up]

    def leader(self):
        leaders = [host for host in self.up if host.leads]
        return max(leaders, key=lambda host: host.replicator.term, default=None)

    def voter_ips(self):
        """Return the addresses of the leader's voters."""
        voter_ids = self.leader().replicator.configuration.voter_ids
        return sorted(voter_id.partition("+")[0] for voter_id in voter_ids)

    def commits_vote_of(self, host):
        """Return whether the leader has committed a configuration in which a host votes."""
        state = self.leader().replicator._task.core.state
        is_committed = state.configuration_index <= state.commit_index
        return is_committed and host.ip in self.voter_ips()

    def member_ips(self):
        """Return the addresses of the leader's members."""
        members = self.leader().replicator.configuration.members
        return sorted(member.member_id.partition("+")[0] for member in members)

    def run(self, ms, busy=True):
        """Advance the time; with ``busy``, a command is proposed now and then."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            self.step()
            if busy and self.rng.random() < STEP_MS / 100.0:
                self.propose()

    def run_until(self, condition, ms):
        """Advance the time until a condition holds; return whether it did."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            if condition():
                return True
            self.step()
        return condition()

    def step(self):
        self.now_ms += STEP_MS
        self._deliver()
        for host in self.up:
            host.clock.advance(STEP_MS / MS_PER_S)
        for host in self.up:
            host.clock.advance(0)

    def propose(self):
        leader = self.leader()
        if leader is None:
            return
        self._proposed += 1
        command = b"command %d" % self._proposed
        outcome = leader.replicator.propose(command)
        outcome.addCallbacks(lambda _: self.acknowledged.append(command), lambda _: None)

    def accepts_a_change(self, ms):
        """Return whether a command is acknowledged within a time."""
        end_ms = self.now_ms + ms
        while self.now_ms < end_ms:
            before = len(self.acknowledged)
            self.propose()
            if self.run_until(lambda before=before: len(self.acknowledged) > before, 200.0):
                return True
        return False

    def _deliver(self):
        sent = self.in_flight
        self.in_flight = []
        for links, address, message in sent:
            receiver = self._host_at(address)
            sender = self._host_at(links.address)
            if receiver is None or sender is None or receiver.is_cut or sender.is_cut:
                continue
            is_cut = frozenset((receiver.ip, sender.ip)) in self.cut_pairs
            if not is_cut and receiver.links.member_id != links.member_id:
                receiver.links.on_message(links.member_id, message)

    def _host_at(self, address):
        for host in self.up:
            if host.address == address:
                return host
        return None

    def _disk(self, folder):
        return self.host_by_ip[Path(folder).name].disk

    def _open_links(
        self, reactor, settings, incarnation, on_message, tls=None, member_id=None, address=None
    ):
        return SimulatedLinks(self, settings, on_message, member_id, address)

    def _random_module(self):
        return types.SimpleNamespace(Random=lambda: random.Random(self.rng.random()))
