"""Bytes that the layer above sends from member to member, without guaranteed delivery."""

from hemlockdock_control.consensus.messages import Forward


class Forwards:
    """Sends bytes to other members, and delivers those that are received.

    Parameters
    ----------
    reactor : twisted reactor
    replicator : Replicator
        Tells the ids of this member and of the leader.
    send : callable
        Called with a member id and a message.
    deliver : callable
        Called with a callback, the sender's member id and the bytes.
    """

    def __init__(self, reactor, replicator, send, deliver):
        self._reactor = reactor
        self._replicator = replicator
        self._send = send
        self._deliver = deliver
        self._callbacks = []

    def on_received(self, callback):
        """Register a callback for the bytes that members send.

        Parameters
        ----------
        callback : callable
            Called with the sender's member id and the bytes.
        """
        self._callbacks.append(callback)

    def send_to_leader(self, data):
        """Send bytes to the leader, which may be this member.

        Parameters
        ----------
        data : bytes

        Returns
        -------
        bool
            False if no leader is known.
        """
        leader_id = self._replicator.leader_id
        if not leader_id:
            return False
        self.send_to_member(leader_id, data)
        return True

    def send_to_member(self, member_id, data):
        """Send bytes to a member, which may be this one.

        Parameters
        ----------
        member_id : str
        data : bytes
        """
        if member_id == self._replicator.member_id:
            self._reactor.callLater(0, self.receive, member_id, data)
            return
        self._send(member_id, Forward(data))

    def receive(self, sender, data):
        """Deliver bytes that a member has sent.

        Parameters
        ----------
        sender : str
        data : bytes
        """
        for callback in self._callbacks:
            self._deliver(callback, sender, data)
