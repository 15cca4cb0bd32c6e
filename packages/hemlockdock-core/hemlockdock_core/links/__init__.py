"""Carry frames between processes over pynng sockets watched by the reactor."""

from hemlockdock_core.links.link_tls import LinkTls
from hemlockdock_core.links.mailbox import Mailbox
from hemlockdock_core.links.message_transport import MessageTransport
from hemlockdock_core.links.outbox import Outbox
from hemlockdock_core.links.watched_socket import WatchedDescriptor

__all__ = ["LinkTls", "Mailbox", "Outbox", "MessageTransport", "WatchedDescriptor"]
