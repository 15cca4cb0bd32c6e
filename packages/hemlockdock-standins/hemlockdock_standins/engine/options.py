"""Say how a stand-in engine behaves."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineOptions:
    """Say how a stand-in engine behaves; may be changed while it runs.

    Attributes
    ----------
    host : str
        Names the host whose checkpoint cache is used.
    port : int
        0 lets the system choose; kept over simulated crashes.
    memory_mb : int
    refuses_old_fences : bool
    token_ms : float
        Time between tokens, in milliseconds.
    first_token_ms : float
    slow_factor : float
        Multiplies ``token_ms`` and ``first_token_ms``.
    load_remote_ms, load_disk_ms, load_memory_ms : float
        Time of a model load by where its checkpoint lies, in milliseconds.
    unload_ms : float
    load_lag_ms : float
        Age of the load report, in milliseconds.
    event_lag_ms : float
        Age of the youngest cache event handed out, in milliseconds.
    event_gap : int
        Every such cache event is left out; 0 leaves none out.
    restart_ms : float
        Time from a crash until the engine listens again, empty.
    hang_loads : bool
        Whether model loads never end.
    hang_health : bool
        Whether ``GET /health`` never answers.
    lose_order_answers : int
        So many of the next orders are carried out, but their connection is dropped unanswered.
    fail_loads : int
        So many of the next model loads fail.
    resumes : bool
        Whether a broken stream can be read again from an offset.
    keep_tokens : int
        Tokens generated when a request asks for no number.
    """

    host: str = "host"
    port: int = 0
    memory_mb: int = 81_920
    refuses_old_fences: bool = True
    token_ms: float = 1.0
    first_token_ms: float = 1.0
    slow_factor: float = 1.0
    load_remote_ms: float = 40.0
    load_disk_ms: float = 20.0
    load_memory_ms: float = 5.0
    unload_ms: float = 1.0
    load_lag_ms: float = 200.0
    event_lag_ms: float = 200.0
    event_gap: int = 7
    restart_ms: float = 100.0
    hang_loads: bool = False
    hang_health: bool = False
    lose_order_answers: int = 0
    fail_loads: int = 0
    resumes: bool = True
    keep_tokens: int = 16
