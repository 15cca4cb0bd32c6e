"""Define the job payload that control stores."""

import msgspec


class JobBody(msgspec.Struct, frozen=True, array_like=True):
    """The data needed to run a job; control stores it encoded and does not decode it.

    Attributes
    ----------
    caller : str
    path : str
        Path of the engine's HTTP API.
    class_name : str
    repeatable : bool
    body : bytes
    """

    caller: str
    path: str
    class_name: str
    repeatable: bool
    body: bytes
