"""Hold what a job needs to run, as control keeps it."""

import msgspec


class JobBody(msgspec.Struct, frozen=True, array_like=True):
    """Hold what a job needs to run; control keeps it without reading it.

    Attributes
    ----------
    caller : str
    path : str
        Path at the engine.
    class_name : str
    repeatable : bool
    body : bytes
    """

    caller: str
    path: str
    class_name: str
    repeatable: bool
    body: bytes
