"""Replication of commands among the control members."""

import logging
import random
import time

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import LoopingCall

from hemlockdock_control.consensus.configuration import Configuration
from hemlockdock_control.consensus.core import Core
from hemlockdock_control.consensus.departure import Departure, DepartureStep
from hemlockdock_control.consensus.errors import CommandTooLargeError, NotLeaderError
from hemlockdock_control.consensus.events import Received, Tick, TransferRequested
from hemlockdock_control.consensus.forwards import Forwards
from hemlockdock_control.consensus.member_requests import MemberRequests
from hemlockdock_control.consensus.member_task import MemberTask
from hemlockdock_control.consensus.membership_planner import leaving_ids
from hemlockdock_control.consensus.membership_reconciler import MembershipReconciler
from hemlockdock_control.consensus.messages import Forward, Hello
from hemlockdock_control.consensus.peer_links import PeerLinks
from hemlockdock_control.consensus.seed_discovery import KnownMembers, SeedDiscovery
from hemlockdock_control.consensus.seeding import open_seeded_storage, process_ip
from hemlockdock_control.consensus.static_discovery import StaticDiscovery
from hemlockdock_control.consensus.timing import Timing
from hemlockdock_control.storage.disk import Disk
from hemlockdock_control.storage.errors import StorageError, StorageFailedError
from hemlockdock_control.storage.member_storage import MemberStorage
from hemlockdock_core.wall_clock import wall_ms

logger = logging.getLogger(__name__)

TICKS_PER_HEARTBEAT = 2
MAX_COMMAND_BYTES = 8 * 1024 * 1024
MS_PER_S = 1_000.0
# Longer than several lost heartbeats, and short enough that no operator has to intervene.
LINK_SILENCE_TIMEOUT_MS = 1_500.0
# Interval of the attempts to reopen the data folder after the disk was full or failed.
REOPEN_INTERVAL_MS = 1_000.0


def clock_ms():
    """Return a monotonic time in ms that advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S


class Replicator:
    """Replicates commands among the control members, which all apply them in the same order.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    state_machine : object
        ``apply(index, data)`` returns the result for the proposer, ``snapshot()`` returns the state
        as bytes, ``restore(index, data)`` replaces the state, and ``reset()`` empties it.
    tls : LinkTls, optional
    now_ms : callable, optional
        Returns the time of a monotonic clock.

    Attributes
    ----------
    forwards : Forwards
    member_requests : MemberRequests
    """

    def __init__(self, reactor, settings, state_machine, tls=None, now_ms=clock_ms):
        self._reactor = reactor
        self._settings = settings
        self._state_machine = state_machine
        self._tls = tls
        self._now_ms = now_ms
        self._member_id = settings.process.node_id
        self._timing = Timing.from_settings(settings.control)
        self._storage = None
        self._links = None
        self._discovery = None
        self._task = None
        self._tick_loop = None
        self._leadership_callbacks = []
        self._stopping = False
        self._stop_waiters = []
        self._departure = None
        self._departure_call = None
        self._reconciler = MembershipReconciler(self._change)
        self.forwards = Forwards(reactor, self, self._send, _call_safely)
        self.member_requests = MemberRequests(
            reactor,
            lambda: self._discovery.hello_by_id,
            self._member_state,
            self._change,
            now_ms,
        )
        self._reopened_ms = float("-inf")

    @property
    def member_id(self):
        """Return this member's id."""
        return self._member_id

    @property
    def is_leader(self):
        """Return whether this member leads and has applied everything committed before its term."""
        return self._task is not None and self._task.leads

    @property
    def has_lease(self):
        """Return whether this member leads and its lease excludes any other leader."""
        return self._task is not None and self._task.has_lease

    @property
    def is_caught_up(self):
        """Return whether all entries that this member knows to be committed are applied here."""
        return self._task is not None and self._task.is_caught_up

    @property
    def leader_id(self):
        """Return the leader's id, empty if it is not known."""
        return self._task.core.state.leader_id if self._task is not None else ""

    @property
    def term(self):
        """Return the current term."""
        return self._task.core.state.term if self._task is not None else 0

    @property
    def configuration(self):
        """Return the latest Configuration, empty before the cluster is known."""
        return self._task.core.state.configuration if self._task is not None else Configuration()

    @property
    def applied_index(self):
        """Return the index of the last entry applied here."""
        return self._task.applied_index if self._task is not None else 0

    @property
    def failure(self):
        """Return the error that stopped this member, or None while it works."""
        if self._discovery is not None and self._discovery.refusal is not None:
            return self._discovery.refusal
        if self._task is not None and self._task.failure is not None:
            return self._task.failure
        return self._storage.failure if self._storage is not None else None

    @property
    def last_leader_contact_s(self):
        """Return the seconds since the last contact with the leader, or on it, with a quorum."""
        if self._task is None:
            return float("inf")
        return self._task.core.contact_age_ms(self._now_ms()) / MS_PER_S

    def start(self):
        """Open the data folder and connect to the other members.

        Raises
        ------
        StorageError
            If the folder is damaged or can't be used.
        """
        disk = Disk(self._settings.process.data_folder)
        try:
            self._open(disk)
        except BaseException:
            disk.close()
            raise
        if not self._discovery.is_forming:
            self._start_member()
        self._tick_loop = LoopingCall(self._tick)
        self._tick_loop.clock = self._reactor
        self._tick_loop.start(self._timing.heartbeat_ms / TICKS_PER_HEARTBEAT / MS_PER_S)

    def stop(self):
        """Hand over leadership and vote, then stop; it may be called more than once.

        Returns
        -------
        Deferred
            Fires with None.
        """
        stopped = Deferred()
        self._stop_waiters.append(stopped)
        if self._tick_loop is None or self._task is None:
            self._close()
        elif self._departure is None:
            self._departure = Departure(self._timing, self._settings.in_fleet, self._now_ms())
            self._advance_departure()
        return stopped

    def propose(self, data):
        """Replicate a command.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        Deferred
            Fires with the result of the state machine once the command is committed and applied
            here. Fails with NotLeaderError if the command is certainly not committed, with
            UnknownOutcomeError if it may be, and with CommandTooLargeError.
        """
        if len(data) > MAX_COMMAND_BYTES:
            return fail(CommandTooLargeError(len(data), MAX_COMMAND_BYTES))
        if self._task is None or self._stopping:
            return fail(NotLeaderError(self.leader_id))
        return self._task.propose(data)

    def read_barrier(self):
        """Wait until all entries that are committed in the cluster now are applied here.

        Returns
        -------
        Deferred
            Fires with None, or fails with NotLeaderError.
        """
        if self._task is None:
            return fail(NotLeaderError(self.leader_id))
        return self._task.read_barrier()

    def on_leadership(self, callback):
        """Register a callback for when this member becomes the leader or ceases to be it.

        Parameters
        ----------
        callback : callable
            Called with whether this member leads.
        """
        self._leadership_callbacks.append(callback)

    def _change(self, change):
        if self._task is None or self._stopping:
            return fail(NotLeaderError(self.leader_id))
        return self._task.change_membership(change)

    def update_seeds(self, settings):
        """Update the seeds of a fleet from newer settings.

        Parameters
        ----------
        settings : Settings
        """
        self._settings = settings
        if self._discovery is not None:
            self._discovery.update_seeds(settings)

    def _open(self, disk):
        settings = self._settings
        self._storage = self._open_storage(disk)
        if settings.in_fleet:
            self._open_seeded_links()
        else:
            self._links = PeerLinks(self._reactor, settings, wall_ms(), self._receive, self._tls)
        self._discovery = self._new_discovery()

    def _open_storage(self, disk):
        if self._settings.in_fleet:
            return open_seeded_storage(disk, self._settings)
        return MemberStorage(disk, self._settings.control.cluster, self._member_id)

    def _new_discovery(self):
        settings = self._settings
        if settings.in_fleet:
            return SeedDiscovery(settings, self._storage, self._links)
        return StaticDiscovery(settings, self._storage, self._links, self._start_member)

    def _open_seeded_links(self):
        settings = self._settings
        self._member_id = self._storage.identity.member_id
        ip = process_ip(settings)
        self._links = PeerLinks(
            self._reactor,
            settings,
            wall_ms(),
            self._receive,
            self._tls,
            self._member_id,
            settings.seed_address(ip).peer_address,
        )

    def _tick(self):
        if self._task is not None:
            self._task.post(Tick())
        now_ms = self._now_ms()
        if self._departure is not None:
            self._links.reconnect_silent(now_ms, LINK_SILENCE_TIMEOUT_MS)
            self._advance_departure()
            return
        if self._must_reopen(now_ms):
            self._reopened_ms = now_ms
            self._reopen()
        if not self._settings.in_fleet:
            self._run_discovery(self._discovery.tick, self.configuration, now_ms)
            return
        leader_silent_ms = self.last_leader_contact_s * MS_PER_S
        self._discovery.tick(self._known_members(), now_ms, leader_silent_ms)
        self._links.reconnect_silent(now_ms, LINK_SILENCE_TIMEOUT_MS)
        self._reconcile(now_ms)

    def _reconcile(self, now_ms):
        if not self.is_leader:
            return
        self._reconciler.reconcile(
            self._task.core.state,
            self._discovery.received_hello_by_id,
            self._settings.fleet.tolerated_losses,
            now_ms,
        )

    def _must_reopen(self, now_ms):
        if now_ms - self._reopened_ms < REOPEN_INTERVAL_MS:
            return False
        has_failed = self._task is not None and self._task.failure is not None
        return has_failed or self._storage.failure is not None

    def _run_discovery(self, step, *arguments):
        """Run a step that may write the member's identity."""
        try:
            step(*arguments)
        except StorageFailedError as error:
            # The folder is reopened, and the step repeated, with one of the next ticks.
            logger.warning("identity not written", extra={"problem": str(error)})

    def _reopen(self):
        """Restart the member after a failed write, from the state that is really on the disk."""
        if self._task is not None:
            self._task.stop()
        self._storage.close()
        disk = None
        try:
            disk = Disk(self._settings.process.data_folder)
            storage = self._open_storage(disk)
        except (OSError, StorageError) as error:
            if disk is not None:
                disk.close()
            logger.warning("data folder still unusable", extra={"problem": str(error)})
            return
        self._storage = storage
        self._discovery = self._new_discovery()
        self._state_machine.reset()
        self._task = None
        if not self._discovery.is_forming:
            self._start_member()
        logger.info("data folder reopened", extra={"applied": self.applied_index})

    def _receive(self, sender, message):
        if self._settings.in_fleet:
            self._links.record_contact(sender, self._now_ms())
        if isinstance(message, Hello):
            self._handle_hello(sender, message)
        elif isinstance(message, Forward):
            self.forwards.receive(sender, message.data)
        elif self._task is not None:
            self._task.post(Received(sender, message))

    def _handle_hello(self, sender, hello):
        if self._settings.in_fleet:
            self._discovery.handle_hello(sender, hello, self._known_members(), self._now_ms())
            if self._departure is not None and self._task is not None:
                self._departure.record_committed(self._task.core.state, hello)
            return
        self._run_discovery(self._discovery.handle_hello, sender, hello, self.configuration)

    def _start_member(self):
        durable = self._storage.initial_durable_state()
        core = Core(
            self._timing,
            self._member_id,
            self._storage.identity.folder_id,
            random.Random(),
            durable,
            self._now_ms(),
        )
        self._task = MemberTask(
            self._reactor,
            self._now_ms,
            core,
            self._storage,
            self._links,
            self._state_machine,
            self._settings.control.snapshot_entries,
            self._leadership_changed,
        )
        self._task.recover()

    def _leadership_changed(self, leads):
        for callback in self._leadership_callbacks:
            _call_safely(callback, leads)
        if not leads and self._departure is not None and self._departure_call is None:
            self._departure_call = self._reactor.callLater(0, self._advance_departure)

    def _send(self, member_id, message):
        if self._links is not None:
            self._links.send(member_id, message)

    def _member_state(self):
        return None if self._task is None else self._task.core.state

    def _known_members(self):
        if self._task is None:
            return KnownMembers(Configuration(), 0)
        state = self._task.core.state
        is_committed = state.configuration_index <= state.commit_index
        return KnownMembers(state.configuration, state.commit_index if is_committed else 0)

    def _advance_departure(self):
        self._departure_call = None
        now_ms = self._now_ms()
        leaving = frozenset()
        if self._settings.in_fleet:
            leaving = leaving_ids(self._discovery.received_hello_by_id, now_ms)
        step = self._departure.next_step(self._task.core.state, leaving, now_ms)
        if step is DepartureStep.LEAD:
            self._reconcile(now_ms)
        elif step is DepartureStep.TRANSFER_LEADERSHIP:
            self._task.post(TransferRequested(leaving))
        elif step is DepartureStep.HAND_OVER_VOTE:
            self._discovery.announce_leaving(self._known_members())
        else:
            self._close()

    def _close(self):
        self._stopping = True
        if self._tick_loop is not None:
            self._tick_loop.stop()
            self._tick_loop = None
            self._close_components()
        waiters = self._stop_waiters
        self._stop_waiters = []
        for waiter in waiters:
            waiter.callback(None)

    def _close_components(self):
        if self._departure_call is not None:
            self._departure_call.cancel()
        if self._task is not None:
            self._task.stop()
        self._links.close()
        self._storage.close()


def _call_safely(callback, *arguments):
    # An exception in the layer above must not stop the member.
    try:
        callback(*arguments)
    except Exception:
        logger.exception("exception in a consensus callback")
