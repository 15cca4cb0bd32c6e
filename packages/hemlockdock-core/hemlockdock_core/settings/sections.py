"""All sections and keys of the settings, with type, unit, default and range.

The documentation page of the settings is generated from this module.
"""

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

from hemlockdock_core.names import Name
from hemlockdock_core.settings.types import (
    HostPort,
    LinkAddress,
    NameList,
    TextList,
    split_list,
)

PLACEHOLDER_START = "{{"


class Role(StrEnum):
    """The roles of a process."""

    ENTRY = "entry"
    AGENT = "agent"
    CONTROL = "control"


class FencingSetting(StrEnum):
    """What the engine does with an order that has an outdated fencing token."""

    REFUSES_OLD = "refuses_old"
    IGNORED = "ignored"


class Section(BaseModel):
    """Base class of all sections; unknown keys are refused."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class PlatformSection(Section):
    """Base class of sections that a platform fills from a template.

    A key whose value is empty or an unfilled placeholder has its default, because a platform may
    leave either where it has no value.
    """

    @model_validator(mode="before")
    @classmethod
    def drop_unfilled(cls, values):
        """Drop keys whose value is empty or an unfilled placeholder."""
        if not isinstance(values, dict):
            return values
        return {name: value for name, value in values.items() if not _is_unfilled(value)}


def _is_unfilled(value):
    return isinstance(value, str) and (not value.strip() or value.startswith(PLACEHOLDER_START))


def key(default, doc, unit="", **limits):
    """Return the pydantic field of one key.

    Parameters
    ----------
    default : object
        ``...`` if the key is required.
    doc : str
    unit : str, optional
    **limits
        Passed to ``pydantic.Field``.

    Returns
    -------
    pydantic.fields.FieldInfo
    """
    return Field(default, description=doc, json_schema_extra={"unit": unit}, **limits)


class ProcessSection(PlatformSection):
    """Identity and location of the process."""

    node_id: Name = key(..., "Unique name of the process, the same after a restart.")
    roles: Annotated[list[Role], BeforeValidator(split_list)] = key(
        ..., "Comma-separated roles: entry, agent, control.", min_length=1
    )
    host: Name = key(..., "Name of the host on which the process runs.")
    failure_domain: Name = key(..., "Failure domain of the host.")
    data_folder: str = key(
        "", "Folder for durable state: required for control, optional for agents."
    )
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = key("INFO", "Minimum log level.")
    shutdown_ms: int = key(
        600_000,
        "Maximum time that a graceful shutdown waits for requests.",
        "ms",
        ge=0,
        le=86_400_000,
    )
    cpu_share: float = key(
        1.0,
        "Share of the cores that the process may use; multiplied with cores.",
        ge=0,
        le=1_000,
        allow_inf_nan=False,
    )
    cores: float = key(
        0.0, "Cores of an entry's host; 0 if unknown.", ge=0, le=10_000, allow_inf_nan=False
    )
    memory_mb: float = key(
        0.0,
        "Memory that the process may use; 0 takes the limits of the operating system. Entries also "
        "state it as part of their capacity.",
        "MB",
        ge=0,
        le=1_000_000_000,
        allow_inf_nan=False,
    )
    link_mbps: float = key(
        0.0,
        "Capacity of an entry's link; 0 if unknown.",
        "Mbit/s",
        ge=0,
        le=10_000_000,
        allow_inf_nan=False,
    )


class ListenSection(Section):
    """Addresses at which the process listens."""

    links: LinkAddress = key(
        "tcp://127.0.0.1:0", "Address of the mailbox for frames from other processes."
    )
    advertised_links: LinkAddress = key(
        "", "Address at which other processes reach the mailbox, if a port mapping changes it."
    )
    peers: LinkAddress = key(
        "",
        "Address at which a fleet's control member listens for the others, if a port mapping "
        "changes it.",
    )
    http: HostPort = key(
        "127.0.0.1:0", "HTTP address for callers (entry) or for health and metrics (agent)."
    )
    admin: HostPort = key("127.0.0.1:0", "HTTP address for operators (control).")
    ready: HostPort = key("", "HTTP address of the readiness check of an entry of a fleet.")
    metrics: HostPort = key("", "HTTP address of a fleet's metrics; empty for none.")


class ControlSection(Section):
    """The control members and their parameters."""

    members: TextList = key([], "Comma-separated id@node-address@peer-address of each member.")
    cluster: Name = key("hemlockdock", "Cluster name; a data folder of another cluster is refused.")
    heartbeat_ms: int = key(50, "Time between a leader's heartbeats.", "ms", ge=5, le=10_000)
    election_ms: int = key(
        500, "Minimum election timeout; the maximum is twice this value.", "ms", ge=20, le=60_000
    )
    snapshot_entries: int = key(
        10_000, "Log entries between snapshots.", "entries", ge=10, le=10_000_000
    )
    audit_entries: int = key(
        20_000,
        "Number of audit records kept; older ones are dropped.",
        "records",
        ge=100,
        le=1_000_000,
    )
    decide_ms: int = key(100, "Time between decision rounds.", "ms", ge=5, le=10_000)
    tokens_file: str = key("", "File with the operators' hashed tokens, one name:sha256 per line.")


class MembershipSection(Section):
    """Detection of live, leaving and lost nodes."""

    heartbeat_ms: int = key(500, "Time between a node's heartbeats.", "ms", ge=20, le=60_000)
    lost_after_ms: int = key(
        2_000, "Silence after which a node is considered lost.", "ms", ge=100, le=600_000
    )
    certain_after_ms: int = key(
        30_000,
        "Silence after which a lost endpoint's replicas no longer count, provided that its agent "
        "unloads them by itself.",
        "ms",
        ge=1_000,
        le=86_400_000,
    )
    stale_after_ms: int = key(
        10_000,
        "Time without contact to control after which a node accepts no new requests.",
        "ms",
        ge=500,
        le=600_000,
    )
    platform_list: str = key("", "URL of the platform's list of live and leaving hosts.")
    platform_poll_ms: int = key(1_000, "Time between reads of that list.", "ms", ge=100, le=60_000)


class EntrySection(Section):
    """Handling of callers' requests."""

    queue_limit: int = key(
        256, "Maximum number of queued requests per model and class.", "requests", ge=1, le=100_000
    )
    caller_share: float = key(
        0.5, "Maximum fraction of a queue that one caller may occupy.", "", gt=0.0, le=1.0
    )
    body_limit_kb: int = key(1_024, "Maximum size of a request body.", "KB", ge=1, le=12_288)
    header_timeout_ms: int = key(
        10_000,
        "Time within which a caller has to send its whole request.",
        "ms",
        ge=100,
        le=600_000,
    )
    connections: int = key(
        4_096, "Maximum number of concurrent caller connections.", "connections", ge=1, le=100_000
    )
    retry_budget: float = key(
        0.1,
        "Maximum number of retries and hedges, as a fraction of first attempts.",
        "",
        ge=0.0,
        le=1.0,
    )
    hedge_after_ms: int = key(
        0, "Delay before a lookup is hedged; 0 disables hedging.", "ms", ge=0, le=60_000
    )
    stall_ms: int = key(
        5_000, "Gap in a stream after which it is resumed.", "ms", ge=100, le=600_000
    )
    wish_ms: int = key(200, "Time between repeats of a wish.", "ms", ge=10, le=60_000)
    claim_timeout_ms: int = key(
        3_000, "Maximum wait for the quorum's answer.", "ms", ge=100, le=60_000
    )
    stored_answer_kb: int = key(
        64, "Maximum size of a run-once answer that is stored for resends.", "KB", ge=0, le=1_024
    )


class AgentSection(Section):
    """The endpoint that the agent manages."""

    group: Name = key("default", "Endpoint group, as in the manifest.")
    engine_url: str = key("", "Base URL of the engine's HTTP interface.")
    fencing: FencingSetting = key(
        FencingSetting.REFUSES_OLD,
        "What the engine does with orders that have an outdated fencing token.",
    )
    memory_mb: int = key(81_920, "Accelerator memory of the endpoint.", "MB", gt=0, le=100_000_000)
    order_timeout_ms: int = key(
        120_000, "Maximum time that an order may take at the engine.", "ms", ge=100, le=3_600_000
    )
    answer_buffer_kb: int = key(
        8_192,
        "Memory for answers that are kept for callers that reconnect.",
        "KB",
        ge=0,
        le=1_048_576,
    )
    answer_keep_ms: int = key(
        120_000, "Time for which such an answer is kept after its end.", "ms", ge=0, le=3_600_000
    )
    poll_ms: int = key(500, "Time between reads of the engine's load.", "ms", ge=50, le=60_000)


class FleetSection(PlatformSection):
    """Operation of the process as part of a fleet.

    In a fleet, control members discover each other through seeds, endpoints are listed in the
    platform's directory, entries send requests directly to them, and agents only send orders to
    engines.
    """

    seeds: TextList = key(
        [],
        "Comma-separated ip:port of the operators' HTTP of some control members. If set, the "
        "process is part of a fleet.",
    )
    first_start: bool = key(
        False, "Whether the whole deployment starts for the first time, with empty data folders."
    )
    tolerated_losses: int = key(
        0,
        "Number of control members that may be lost at the same time; twice as many and one more "
        "vote, and others wait for a place. 0: an odd number of them votes, at most 5.",
        ge=0,
        le=10,
    )
    node_port: int = key(7_380, "Port of every process's mailbox.", "", ge=1, le=65_535)
    peer_port: int = key(7_381, "Port of the mailbox for other control members.", ge=1, le=65_535)
    wire: str = key(
        "hemlockdock_core.wire.own", "Module that translates the platform's wire format."
    )
    directory: HostPort = key("", "ip:port of the platform's directory of endpoints (control).")
    directory_poll_ms: int = key(
        400, "Time between reads of the directory.", "ms", ge=50, le=60_000
    )
    leaving_use_ms: int = key(
        0,
        "Time for which an endpoint may get requests after the directory lists it as leaving "
        "(control, entry).",
        "ms",
        ge=0,
        le=3_600_000,
    )
    engine: HostPort = key("", "ip:port of the agent's engine (agent).")
    pool: str = key("", "Pool of that engine (agent).")
    report_ms: int = key(100, "Time between reads of the engine's report.", "ms", ge=20, le=60_000)
    share_load: Literal["never", "uneven", "always"] = key(
        "never",
        "When the leader tells entries the loads of endpoints; uneven: while the entries state "
        "different capacities (control).",
    )
    retry_ratio: float = key(
        0.2,
        "Sends allowed beyond the first, as a fraction of requests, over all entries.",
        ge=0,
        le=1,
    )
    retry_slack: float = key(
        10.0, "Sends allowed in addition to that fraction, over all entries.", ge=0, le=100_000
    )
    retry_window_s: float = key(
        10.0, "Time window over which sends are counted.", "s", gt=0, le=3_600
    )
    patience_ms: int = key(
        2_000, "Time without output after which clients abandon a stream.", "ms", ge=0, le=3_600_000
    )
    patience_targets: float = key(
        4.0,
        "Clients wait this many times the route's latency target, if that is longer.",
        ge=0,
        le=1_000,
    )
    patience_gaps: float = key(
        8.0,
        "Clients wait this many times the route's target gap, if that is longer.",
        ge=0,
        le=1_000,
    )
    grace_s: float = key(
        8.0,
        "Time from SIGTERM to the forced kill, before which the process has to stop.",
        "s",
        gt=0,
        le=3_600,
    )


class StoreSection(Section):
    """Limits of the weight store, shared by the whole deployment."""

    loads_per_s: float = key(5.0, "Model loads that may start per second.", "1/s", gt=0, le=10_000)
    loads_full_speed: int = key(
        4, "Concurrent model loads that run at full speed.", "loads", ge=1, le=10_000
    )
    adapters_in_flight: int = key(
        32, "Concurrent adapter loads from the store.", "loads", ge=1, le=100_000
    )


class TlsSection(Section):
    """Mutual TLS between processes; if all keys are empty, links are plain TCP."""

    certificate: str = key("", "PEM file with this process's certificate and key.")
    authority: str = key(
        "", "PEM file with the CA certificate that signs all processes' certificates."
    )


__all__ = [
    "AgentSection",
    "ControlSection",
    "EntrySection",
    "FleetSection",
    "FencingSetting",
    "ListenSection",
    "MembershipSection",
    "NameList",
    "PlatformSection",
    "ProcessSection",
    "Role",
    "Section",
    "StoreSection",
    "TlsSection",
]
