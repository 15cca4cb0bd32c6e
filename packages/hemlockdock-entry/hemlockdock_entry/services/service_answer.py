"""Define the answer of a plain service."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """HTTP answer of a plain service.

    Attributes
    ----------
    status : int
    headers : dict of str to list of str
    body : bytes
    """

    status: int
    headers: dict = field(default_factory=dict)
    body: bytes = b""

    @property
    def content_type(self):
        """Return the answer's content type, empty if it has none."""
        return self.headers.get("content-type", [""])[0]

    @property
    def retry_after(self):
        """Return the value of the answer's Retry-After header, empty if it has none."""
        return self.headers.get("retry-after", [""])[0]
