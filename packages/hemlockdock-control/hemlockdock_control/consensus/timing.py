"""Timeouts and size limits of the consensus algorithm."""

from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.2
ENTRIES_PER_REQUEST = 512
BYTES_PER_REQUEST = 1024 * 1024
REQUESTS_IN_FLIGHT = 32
SNAPSHOT_CHUNK_BYTES = 256 * 1024
KEPT_BYTES = 4 * 1024 * 1024
SLICES_PER_HEARTBEAT = 4


@dataclass(frozen=True, slots=True)
class Timing:
    """Timeouts and size limits of the consensus algorithm.

    Attributes
    ----------
    heartbeat_ms : float
    election_ms : float
        Minimum election timeout; no vote is granted for this long after contact with a leader.
    max_clock_drift : float
        Largest relative difference between the rates of two members' clocks.
    entries_per_request : int
    bytes_per_request : int
    requests_in_flight : int
    snapshot_chunk_bytes : int
    kept_entries : int
        Number of applied entries kept in memory after a snapshot, so that a member that lags by
        fewer entries needs no snapshot.
    kept_bytes : int
        Size up to which they are kept.
    """

    heartbeat_ms: float
    election_ms: float
    max_clock_drift: float = MAX_CLOCK_DRIFT
    entries_per_request: int = ENTRIES_PER_REQUEST
    bytes_per_request: int = BYTES_PER_REQUEST
    requests_in_flight: int = REQUESTS_IN_FLIGHT
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    kept_entries: int = 1_000
    kept_bytes: int = KEPT_BYTES

    @property
    def lease_ms(self):
        """Return the duration of a lease, counted from the sending of its heartbeat."""
        return self.election_ms * (1.0 - self.max_clock_drift)

    @property
    def apply_slice_ms(self):
        """Return how long a reactor turn applies entries, so that heartbeats are not delayed."""
        return self.heartbeat_ms / SLICES_PER_HEARTBEAT

    @classmethod
    def from_settings(cls, control):
        """Return the timeouts and limits for the control settings.

        Parameters
        ----------
        control : ControlSection

        Returns
        -------
        Timing
        """
        kept = min(1_000, control.snapshot_entries)
        return cls(control.heartbeat_ms, control.election_ms, kept_entries=kept)
