"""Run a whole deployment with its stand-ins in one process."""

import tempfile

from twisted.internet.defer import inlineCallbacks, maybeDeferred

from hemlockdock_cli.demo.ports import LOOPBACK, free_ports
from hemlockdock_core.settings import Settings
from hemlockdock_daemon.process import Process
from hemlockdock_standins.engine import EngineOptions, StandInEngine, StandInLedger
from hemlockdock_standins.platform import StandInPlatform
from hemlockdock_standins.service import StandInService
from hemlockdock_standins.weight_store import StandInWeightStore

DOMAINS = ("domain-a", "domain-b", "domain-c")
ENTRY_COUNT = 2


class DemoCluster:
    """Run control members, two entries, three agents and their stand-ins.

    Parameters
    ----------
    reactor : twisted reactor
    members : int, optional
        Number of control members.

    Attributes
    ----------
    engines : list of StandInEngine
    ledger : StandInLedger
        Counts what all engines did, for checks.
    service : StandInService
    platform : StandInPlatform
    """

    def __init__(self, reactor, members=1):
        self._reactor = reactor
        self._folder = tempfile.TemporaryDirectory(prefix="hemlockdock-")
        self.ledger = StandInLedger()
        self._store = StandInWeightStore(reactor)
        self.platform = StandInPlatform(reactor)
        self.service = StandInService(reactor)
        self.engines = []
        self._process_by_id = {}
        ports = free_ports(3 * members)
        self._member_ids = [f"control-{number + 1}" for number in range(members)]
        self._node_ports = ports[:members]
        self._peer_ports = ports[members : 2 * members]
        self._admin_ports = ports[2 * members :]
        self._entries = []

    @property
    def admin_addresses(self):
        """``ip:port`` of each control member's administration API."""
        return [f"{LOOPBACK}:{port}" for port in self._admin_ports]

    @property
    def entry_addresses(self):
        """``ip:port`` of each entry."""
        return [entry.http_address for entry in self._entries]

    @inlineCallbacks
    def start(self):
        """Start all parts, the stand-ins first.

        Returns
        -------
        twisted.internet.defer.Deferred
        """
        yield maybeDeferred(self.platform.start)
        yield maybeDeferred(self.service.start)
        for domain in DOMAINS:
            options = EngineOptions(host=f"host-{domain}")
            engine = StandInEngine(self._reactor, options, self._store, self.ledger)
            yield maybeDeferred(engine.start)
            self.engines.append(engine)
        for index in range(len(self._member_ids)):
            yield self._start_process(self._control_values(index))
        for index, engine in enumerate(self.engines):
            yield self._start_process(self._agent_values(index, engine.url))
        for index in range(ENTRY_COUNT):
            process = yield self._start_process(self._entry_values(index))
            self._entries.append(process.services[-1])

    def stop_process(self, node_id):
        """Stop one process as SIGTERM would.

        Parameters
        ----------
        node_id : str

        Returns
        -------
        twisted.internet.defer.Deferred
        """
        return self._process_by_id[node_id].stop()

    @inlineCallbacks
    def stop(self):
        """Stop all parts, the stand-ins last.

        Returns
        -------
        twisted.internet.defer.Deferred
        """
        for process in reversed(self._process_by_id.values()):
            yield process.stop()
        for engine in self.engines:
            yield maybeDeferred(engine.stop)
        self._store.close()
        yield maybeDeferred(self.service.stop)
        yield maybeDeferred(self.platform.stop)
        self._folder.cleanup()

    @inlineCallbacks
    def _start_process(self, values):
        process = Process(self._reactor, Settings.model_validate(values))
        self._process_by_id[values["process"]["node_id"]] = process
        yield process.start()
        return process

    def _control_values(self, index):
        folder = tempfile.mkdtemp(dir=self._folder.name)
        values = self._settings_values(
            self._member_ids[index], "control", DOMAINS[index % len(DOMAINS)]
        )
        values["process"]["data_folder"] = folder
        values["listen"] = {"admin": self.admin_addresses[index]}
        return values

    def _agent_values(self, index, engine_url):
        values = self._settings_values(f"agent-{index + 1}", "agent", DOMAINS[index])
        values["agent"] = {"engine_url": engine_url, "memory_mb": 81_920}
        return values

    def _entry_values(self, index):
        return self._settings_values(f"entry-{index + 1}", "entry", DOMAINS[index])

    def _settings_values(self, node_id, role, domain):
        host = f"host-{domain}" if role == "agent" else f"host-{node_id}"
        return {
            "process": {
                "node_id": node_id,
                "roles": role,
                "host": host,
                "failure_domain": domain,
            },
            "control": {"members": self._member_specs()},
            "membership": {"platform_list": self.platform.url},
        }

    def _member_specs(self):
        specs = []
        member_ports = zip(self._member_ids, self._node_ports, self._peer_ports, strict=True)
        for member_id, node_port, peer_port in member_ports:
            node = f"tcp://{LOOPBACK}:{node_port}"
            peer = f"tcp://{LOOPBACK}:{peer_port}"
            specs.append(f"{member_id}@{node}@{peer}")
        return specs
