"""Settings that limit the memory and connections that clients can take."""

from hemlockdock_core.settings.sections import PlatformSection, key


class ClientsSection(PlatformSection):
    """Limits for all clients of the process together; 0 derives a limit from the process's own."""

    request_budget_mb: int = key(
        0,
        "Memory for the requests of all clients of an entry; 0 for a quarter of the process's, at "
        "most 40 MB. A single request inside the manifest's limits always fits.",
        "MB",
        ge=0,
        le=100_000_000,
    )
    body_stall_ms: int = key(
        15_000,
        "Time without a byte after which an incomplete request body is refused; the manifest's "
        "idle timeout if that is longer.",
        "ms",
        ge=100,
        le=3_600_000,
    )
    response_budget_mb: int = key(
        0,
        "Memory for responses that endpoints have not completed and, but for 8 MB of it, for those "
        "that clients have not read; 0 for a quarter of the process's, at most 40 MB.",
        "MB",
        ge=0,
        le=100_000_000,
    )
    response_stall_ms: int = key(
        60_000,
        "Time after which a client that reads nothing of what is held for it is dropped.",
        "ms",
        ge=100,
        le=3_600_000,
    )
    connections: int = key(
        0,
        "Maximum number of clients' connections of an entry; 0 for half the soft limit of open "
        "descriptors.",
        "connections",
        ge=0,
        le=1_000_000,
    )
