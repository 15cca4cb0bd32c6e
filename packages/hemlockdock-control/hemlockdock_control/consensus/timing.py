"""Hold the algorithm's times and sizes."""

from dataclasses import dataclass

MAX_CLOCK_DRIFT = 0.2
ENTRIES_PER_REQUEST = 512
BYTES_PER_REQUEST = 1024 * 1024
REQUESTS_IN_FLIGHT = 32
SNAPSHOT_CHUNK_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Timing:
    """Hold the algorithm's times and sizes.

    Attributes
    ----------
    heartbeat_ms : float
    election_ms : float
        Shortest election timeout; for as long after hearing a leader, no vote is given.
    max_clock_drift : float
        Largest difference between the rates of two members' clocks, as a fraction.
    entries_per_request : int
    bytes_per_request : int
    requests_in_flight : int
    snapshot_chunk_bytes : int
    kept_entries : int
        Applied entries kept in memory after a snapshot, for members that lag a little.
    """

    heartbeat_ms: float
    election_ms: float
    max_clock_drift: float = MAX_CLOCK_DRIFT
    entries_per_request: int = ENTRIES_PER_REQUEST
    bytes_per_request: int = BYTES_PER_REQUEST
    requests_in_flight: int = REQUESTS_IN_FLIGHT
    snapshot_chunk_bytes: int = SNAPSHOT_CHUNK_BYTES
    kept_entries: int = 1_000

    @property
    def lease_ms(self):
        """Return how long a lease lasts from when its heartbeat was sent."""
        return self.election_ms * (1.0 - self.max_clock_drift)

    @classmethod
    def from_settings(cls, control):
        """Take the times from the settings.

        Parameters
        ----------
        control : ControlSection

        Returns
        -------
        Timing
        """
        kept = min(1_000, control.snapshot_entries)
        return cls(control.heartbeat_ms, control.election_ms, kept_entries=kept)
