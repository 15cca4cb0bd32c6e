"""Build and run the components of an entry process."""

import logging
import random
import secrets
from functools import singledispatchmethod

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.endpoints import TCP4ServerEndpoint

from hemlockdock_core.addresses import SocketAddress
from hemlockdock_core.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    CrashNotice,
    Leaving,
    Refused,
    SoundNotice,
)
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_core.node import ControlLink, local_node_info, open_local_transport
from hemlockdock_core.wall_clock import wall_ms
from hemlockdock_entry.callers import CallerApi, CallerSite
from hemlockdock_entry.jobs import JobRunner
from hemlockdock_entry.routing import handle_notice
from hemlockdock_entry.services import ServiceClient, ServiceDispatcher
from hemlockdock_entry.tasks.coordinator import RequestCoordinator

logger = logging.getLogger(__name__)

MS_PER_S = 1_000
REQUEST_ID_BYTES = 12


class EntryService:
    """Run an entry: accept, admit, route and answer callers' requests.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    link_type : type, optional
        Class of the link to control.
    tls : LinkTls, optional

    Attributes
    ----------
    http_address : str
        ``ip:port`` of the HTTP API, once started.
    node_address : str
        Address for frames from other nodes, once started.
    """

    def __init__(self, reactor, settings, link_type=ControlLink, tls=None):
        self.http_address = ""
        self.node_address = ""
        self._reactor = reactor
        self._settings = settings
        self._link_type = link_type
        self._tls = tls
        self._transport = None
        self._link = None
        self._coordinator = None
        self._port = None
        self._site = None
        self._service_client = None
        self._job_runner = None

    @property
    def coordinator(self):
        """The RequestCoordinator, once started."""
        return self._coordinator

    @property
    def link(self):
        """The ControlLink, once started."""
        return self._link

    def start(self):
        """Listen for frames and HTTP requests, and connect to control.

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires once callers can connect.
        """
        self._open_transport()
        address = SocketAddress.parse(self._settings.listen.http)
        endpoint = TCP4ServerEndpoint(self._reactor, address.port, interface=address.host)
        # The link needs the bound port, the coordinator needs the link, and the site's resource
        # needs the coordinator, so these are created after the site listens.
        self._site = CallerSite(self._reactor, self._settings)
        return endpoint.listen(self._site).addCallback(self._start_components)

    def stop(self):
        """Refuse new requests, finish those in progress, then close.

        Requests still in progress after the shutdown timeout are refused.

        Returns
        -------
        twisted.internet.defer.Deferred
        """
        if self._coordinator is None:
            return maybeDeferred(self._close)
        logger.info("entry is draining", extra={"in_progress": self._coordinator.in_progress})
        self._coordinator.draining = True
        self._link.set_leaving()
        idle = Deferred()
        timeout_s = self._settings.process.shutdown_ms / MS_PER_S
        self._coordinator.planned_stop.begin(timeout_s)
        timeout_call = self._reactor.callLater(timeout_s, self._coordinator.refuse_all)
        self._coordinator.when_idle(lambda: idle.callback(None))

        def close(_):
            if timeout_call.active():
                timeout_call.cancel()
            return self._close()

        return idle.addCallback(close)

    def _open_transport(self):
        self._transport = open_local_transport(
            self._reactor, self._settings, self._on_frame, self._tls
        )
        self.node_address = self._transport.address

    def _start_components(self, port):
        self._port = port
        address = port.getHost()
        self.http_address = f"{address.host}:{address.port}"
        info = local_node_info(self._settings, "entry", self.node_address, self.http_address)
        self._link = self._link_type(
            self._reactor, self._settings, self._transport, info, on_table=self._table_changed
        )
        self._coordinator = RequestCoordinator(
            self._reactor,
            self._settings,
            self._link,
            self._transport.send,
            random.Random(secrets.randbits(64)),
            wall_ms,
            self._transport.incarnation,
        )
        self._service_client = ServiceClient(self._reactor)
        services = ServiceDispatcher(
            self._coordinator, self._service_client, self._coordinator.random
        )
        self._job_runner = JobRunner(self._coordinator, random_request_id)
        self._site.set_resource(
            CallerApi(self._coordinator, services, random_request_id).app.resource()
        )
        self._link.start()
        self._coordinator.start()
        self._job_runner.start()
        logger.info("entry started", extra={"http": self.http_address})

    def _table_changed(self):
        if self._coordinator is not None:
            self._coordinator.table_changed()

    def _on_frame(self, frame):
        if self._link is None or self._link.handle(frame):
            return
        self._handle_frame(frame.body, frame)

    @singledispatchmethod
    def _handle_frame(self, body, frame):
        COUNTERS.increment("entry_frames_discarded")

    @_handle_frame.register(AnswerHead)
    @_handle_frame.register(AnswerChunk)
    @_handle_frame.register(AnswerEnd)
    @_handle_frame.register(Refused)
    def _(self, body, frame):
        self._coordinator.attempts.handle(body, frame.sender)

    @_handle_frame.register(CrashNotice)
    @_handle_frame.register(SoundNotice)
    def _(self, body, frame):
        handle_notice(body, frame.sender, self._coordinator.crashes)

    @_handle_frame.register(Leaving)
    def _(self, body, frame):
        if body.node_id == frame.sender:
            self._coordinator.router.node_leaving(body.node_id, frame.incarnation)

    def _close(self):
        if self._port is None:
            return maybeDeferred(self._stop_components, None)
        port, self._port = self._port, None
        closed = maybeDeferred(port.stopListening)
        closed.addCallback(lambda _: self._site.close_connections())
        closed.addCallback(lambda _: self._service_client.close())
        return closed.addCallback(self._stop_components)

    def _stop_components(self, _):
        if self._coordinator is not None:
            self._job_runner.stop()
            self._coordinator.stop()
            self._link.stop()
            self._coordinator = None
        if self._transport is not None:
            self._transport.close()
            self._transport = None


def random_request_id():
    """Return a random request ID that cannot be guessed and is never repeated.

    Returns
    -------
    str
    """
    return secrets.token_hex(REQUEST_ID_BYTES)
