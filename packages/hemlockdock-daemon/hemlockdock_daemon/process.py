"""Start and stop of the services of one process."""

import logging

from automat import TypeMachineBuilder
from twisted.internet.defer import inlineCallbacks, maybeDeferred

from hemlockdock_daemon.lifecycle import Lifecycle, LifecycleCore
from hemlockdock_daemon.roles import build_services

logger = logging.getLogger(__name__)

MS_PER_S = 1_000


class Process:
    """The services of a process, which stop only after their requests have finished.

    Parameters
    ----------
    reactor : twisted reactor
    settings : Settings
    services : list, optional
        By default they are built from the settings.
    """

    def __init__(self, reactor, settings, services=None):
        self._reactor = reactor
        self._settings = settings
        self._services = build_services(reactor, settings) if services is None else services
        self._lifecycle = build_lifecycle()

    @property
    def services(self):
        """Return the services in start order."""
        return list(self._services)

    @inlineCallbacks
    def start(self):
        """Start all services in order.

        Returns
        -------
        twisted.internet.defer.Deferred
        """
        if not self._lifecycle.start():
            return
        for service in self._services:
            yield maybeDeferred(service.start)
        self._lifecycle.started()
        logger.info("process started", extra={"node": self._settings.process.node_id})

    def reload(self, settings):
        """Pass reloaded settings to the services that support a reload.

        Parameters
        ----------
        settings : Settings
        """
        self._settings = settings
        for service in self._services:
            if hasattr(service, "reload"):
                service.reload(settings)

    @inlineCallbacks
    def stop(self):
        """Stop all services in reverse order, each after its requests have finished.

        A service that fails to stop within ``shutdown_ms`` is logged and skipped. Further calls
        have no effect.

        Returns
        -------
        twisted.internet.defer.Deferred
        """
        if not self._lifecycle.stop():
            return
        logger.info("process stopping", extra={"node": self._settings.process.node_id})
        limit_s = self._settings.process.shutdown_ms / MS_PER_S
        for service in reversed(self._services):
            finished = maybeDeferred(service.stop)
            finished.addTimeout(limit_s, self._reactor)
            finished.addErrback(log_failed_stop, service)
            yield finished
        self._lifecycle.stopped()
        logger.info("process stopped", extra={"node": self._settings.process.node_id})


def log_failed_stop(failure, service):
    """Log that a service failed to stop or did not stop before the timeout.

    Parameters
    ----------
    failure : twisted.python.failure.Failure
    service : object
    """
    logger.error(
        "service failed to stop",
        extra={"service": type(service).__name__, "problem": str(failure.value)},
    )


def build_lifecycle():
    """Return the state machine of a process: created, starting, running, stopping, stopped.

    Returns
    -------
    Lifecycle
    """
    builder = TypeMachineBuilder(Lifecycle, LifecycleCore)
    created = builder.state("created")
    starting = builder.state("starting")
    running = builder.state("running")
    stopping = builder.state("stopping")
    stopped = builder.state("stopped")
    created.upon(Lifecycle.start).to(starting).returns(True)
    starting.upon(Lifecycle.start).loop().returns(False)
    running.upon(Lifecycle.start).loop().returns(False)
    stopping.upon(Lifecycle.start).loop().returns(False)
    stopped.upon(Lifecycle.start).loop().returns(False)
    starting.upon(Lifecycle.started).to(running).returns(None)
    stopping.upon(Lifecycle.started).loop().returns(None)
    created.upon(Lifecycle.stop).to(stopped).returns(False)
    starting.upon(Lifecycle.stop).to(stopping).returns(True)
    running.upon(Lifecycle.stop).to(stopping).returns(True)
    stopping.upon(Lifecycle.stop).loop().returns(False)
    stopped.upon(Lifecycle.stop).loop().returns(False)
    stopping.upon(Lifecycle.stopped).to(stopped).returns(None)
    return builder.build()(LifecycleCore())
