"""Checks from time to time whether peers have answered."""

import logging

from hemlockdock_core.links.delivery import PROBE_AFTER_S, LinkAction
from hemlockdock_core.metrics import GAUGES

logger = logging.getLogger(__name__)

UNANSWERED_GAUGE = "link_unanswered_seconds"
# A check that comes this late means that this process did not run. It then takes as long again to
# read what has arrived meanwhile.
LATE_S = 0.1
# One that comes this late means that many frames have to be read first.
BUSY_S = 0.25


class LinkWatch:
    """Has the peers that owe an answer probed, and the connections to them renewed, when due.

    Parameters
    ----------
    reactor : twisted reactor
    probe, renew : callable
        Take a Peer.
    """

    def __init__(self, reactor, probe, renew):
        self._reactor = reactor
        self._probe = probe
        self._renew = renew
        self._waiting_by_address = {}
        self._call = None

    def add(self, peer):
        """Watch a peer until it owes no answer.

        Parameters
        ----------
        peer : Peer
        """
        if not peer.delivery.is_waiting:
            return
        self._waiting_by_address[peer.address] = peer
        if self._call is None:
            self._schedule()

    def remove(self, peer):
        """Watch a peer no longer.

        Parameters
        ----------
        peer : Peer
        """
        self._waiting_by_address.pop(peer.address, None)
        GAUGES.remove(UNANSWERED_GAUGE, peer=peer.address)

    def stop(self):
        """Stop checking."""
        if self._call is not None:
            self._call.cancel()
            self._call = None

    def _schedule(self):
        waiting = [peer for peer in self._waiting_by_address.values() if peer.delivery.is_waiting]
        if not waiting:
            return
        now_s = self._reactor.seconds()
        due_s = min(peer.delivery.due_s for peer in waiting)
        # A peer that will be asked meanwhile has to be checked that soon.
        expected_s = min(max(now_s, due_s), now_s + PROBE_AFTER_S)
        self._call = self._reactor.callLater(expected_s - now_s, self._check, expected_s)

    def _check(self, expected_s):
        self._call = None
        now_s = self._reactor.seconds()
        late_s = now_s - expected_s
        for peer in list(self._waiting_by_address.values()):
            if late_s >= BUSY_S:
                peer.delivery.restart_clock(now_s)
            elif late_s >= LATE_S:
                peer.delivery.postpone(late_s + LATE_S)
            self._check_peer(peer)
        if self._call is None:
            self._schedule()

    def _check_peer(self, peer):
        now_s = self._reactor.seconds()
        action = peer.delivery.decide(now_s)
        if action is LinkAction.PROBE:
            self._probe(peer)
        elif action is LinkAction.RENEW:
            self._renew(peer)
        elif action is LinkAction.GIVE_UP:
            logger.info("peer without an answer given up", extra={"peer": peer.address})
        if not peer.delivery.is_waiting:
            self.remove(peer)
            return
        unanswered_s = peer.delivery.unanswered_s(now_s)
        if unanswered_s >= PROBE_AFTER_S:
            GAUGES.set(UNANSWERED_GAUGE, round(unanswered_s, 3), peer=peer.address)
