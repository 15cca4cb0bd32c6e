"""Route calls to plain HTTP services, which run beside the engines."""

from hemlockdock_entry.services.service_answer import ServiceAnswer
from hemlockdock_entry.services.service_call import ServiceCall
from hemlockdock_entry.services.service_client import ServiceClient, ServiceFailedError
from hemlockdock_entry.services.services import ServiceDispatcher

__all__ = [
    "ServiceAnswer",
    "ServiceCall",
    "ServiceClient",
    "ServiceDispatcher",
    "ServiceFailedError",
]
