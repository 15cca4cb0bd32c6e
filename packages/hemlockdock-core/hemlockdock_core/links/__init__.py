"""Transport of frames between processes over pynng sockets, driven by the Twisted reactor."""

from hemlockdock_core.links.descriptor_reader import DescriptorReader
from hemlockdock_core.links.link_tls import LinkTls
from hemlockdock_core.links.mailbox import Mailbox
from hemlockdock_core.links.message_transport import MessageTransport
from hemlockdock_core.links.outbox import Outbox

__all__ = ["LinkTls", "Mailbox", "Outbox", "MessageTransport", "DescriptorReader"]
