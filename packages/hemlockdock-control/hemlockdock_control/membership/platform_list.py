"""Read the platform's list of live and leaving hosts."""

import logging
from enum import StrEnum

import msgspec
import treq
from twisted.internet.defer import inlineCallbacks
from twisted.web.client import HTTPConnectionPool

from hemlockdock_core.foreign import decode_foreign
from hemlockdock_core.http.body_receiver import read_body
from hemlockdock_core.http.close_tracker import CloseTracker
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.periodic_call import PeriodicCall

logger = logging.getLogger(__name__)

LIST_TIMEOUT_S = 5
MAX_LIST_BYTES = 4 * 1024 * 1024


class HostState(StrEnum):
    """Name the state of a host on the platform."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class ListedHost(msgspec.Struct, frozen=True):
    """Describe one host in the list.

    Attributes
    ----------
    host : str
    state : HostState
    """

    host: str
    state: HostState


class HostList(msgspec.Struct, frozen=True):
    """Hold the platform's response.

    Attributes
    ----------
    hosts : list of ListedHost
    """

    hosts: list[ListedHost]


LIST_DECODER = msgspec.json.Decoder(HostList)


class PlatformList:
    """Poll the platform's host list while this member leads.

    If the list cannot be read, the previous one is discarded and membership is decided from
    heartbeats alone.

    Parameters
    ----------
    reactor : twisted reactor
    settings : hemlockdock_core.settings.Settings
    is_leader : callable
        Tells whether this member leads; the list is polled only then.

    Attributes
    ----------
    state_by_host : dict of str to HostState
    """

    def __init__(self, reactor, settings, is_leader):
        self._settings = settings.membership
        self._is_leader = is_leader
        self._reading = None
        self._loop = PeriodicCall(reactor, self._poll)
        self._reactor = reactor
        self._tracker = CloseTracker()
        pool = HTTPConnectionPool(reactor, persistent=False)
        self._agent = self._tracker.open_agent(reactor, pool, LIST_TIMEOUT_S)
        self.state_by_host = {}

    def start(self):
        """Start polling if a list is configured."""
        if self._settings.platform_list:
            self._loop.start(self._settings.platform_poll_ms / 1_000)

    def stop(self):
        """Stop polling; may be called more than once."""
        self._loop.stop()
        if self._reading is not None:
            self._reading.cancel()

    def _poll(self):
        if not self._is_leader():
            self.state_by_host = {}
            return
        if self._reading is not None:
            return
        self._reading = self._read()
        self._reading.addErrback(self._failed)
        self._reading.addBoth(self._done)

    @inlineCallbacks
    def _read(self):
        response = yield treq.get(
            self._settings.platform_list,
            agent=self._agent,
            timeout=LIST_TIMEOUT_S,
            unbuffered=True,
        )
        body = read_body(response, self._tracker, MAX_LIST_BYTES)
        data = yield body.addTimeout(LIST_TIMEOUT_S, self._reactor)
        if response.code != 200:
            raise ValueError(f"unexpected response: status {response.code}, {len(data)} bytes")
        listed = decode_foreign(LIST_DECODER, data)
        self.state_by_host = {item.host: item.state for item in listed.hosts}
        COUNTERS.increment("platform_list_reads")

    def _failed(self, failure):
        if not self.state_by_host and COUNTERS.value("platform_list_failures"):
            COUNTERS.increment("platform_list_failures")
            return
        COUNTERS.increment("platform_list_failures")
        logger.warning(
            "cannot read the platform list", extra={"problem": failure.getErrorMessage()}
        )
        self.state_by_host = {}

    def _done(self, _):
        self._reading = None
