"""Options of a stand-in engine."""

from dataclasses import dataclass


@dataclass(slots=True)
class EngineOptions:
    """Behaviour of a stand-in engine; may be changed while it runs.

    Attributes
    ----------
    host : str
        Host whose checkpoint cache the engine uses.
    port : int
        0 selects a free port, which is kept over simulated crashes.
    memory_mb : int
    refuses_old_fences : bool
        Whether orders with an outdated fence are refused.
    token_ms : float
        Time between tokens, in milliseconds.
    first_token_ms : float
    slow_factor : float
        Multiplies ``token_ms`` and ``first_token_ms``.
    load_remote_ms, load_disk_ms, load_memory_ms : float
        Duration of a model load by the location of its checkpoint, in milliseconds.
    unload_ms : float
    load_lag_ms : float
        Age of the load report, in milliseconds.
    event_lag_ms : float
        Minimum age of the cache events that are returned, in milliseconds.
    event_gap : int
        Every n-th cache event is omitted; 0 omits none.
    restart_ms : float
        Time from a crash until the engine listens again, with no models loaded.
    hang_loads : bool
        Whether model loads hang forever.
    hang_health : bool
        Whether ``GET /health`` hangs forever.
    lose_order_answers : int
        Number of following orders that are executed but whose connection is dropped without an
        answer.
    fail_loads : int
        Number of following model loads that fail.
    resumes : bool
        Whether an interrupted stream can be resumed at an offset.
    keep_tokens : int
        Tokens generated if the request has no ``max_tokens``.
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
