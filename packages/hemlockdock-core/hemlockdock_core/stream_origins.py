"""Where streams began, so that they continue only at the software version that began them."""

import heapq
from dataclasses import dataclass

MS_PER_S = 1_000
# Longer than any client waits for the rest of its stream.
MAX_KEEP_MS = 120_000
MAX_ORIGINS = 50_000
# Clients choose their ids; a longer one is not worth its memory.
MAX_ID_CHARACTERS = 128


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The pool and the software version whose endpoint sent the first event of a stream.

    Attributes
    ----------
    pool, software_version : str
    """

    pool: str
    software_version: str


class StreamOriginStore:
    """Origins of streams by request id, each kept for as long as its client may come back."""

    def __init__(self):
        self._origin_by_id = {}
        self._expiries = []

    def __len__(self):
        return len(self._origin_by_id)

    def record(self, request_id, origin, keep_ms, now_s):
        """Keep the origin of a stream; the oldest to expire gives way if there are too many.

        Parameters
        ----------
        request_id : str
        origin : StreamOrigin
        keep_ms : int
        now_s : float
        """
        self.remove_expired(now_s)
        if request_id in self._origin_by_id or len(request_id) > MAX_ID_CHARACTERS:
            return
        self._origin_by_id[request_id] = origin
        expires_s = now_s + min(keep_ms, MAX_KEEP_MS) / MS_PER_S
        heapq.heappush(self._expiries, (expires_s, request_id))
        if len(self._origin_by_id) > MAX_ORIGINS:
            self._remove_first()

    def find(self, request_id, now_s):
        """Return the origin of a stream, or None if it is not known.

        Parameters
        ----------
        request_id : str
        now_s : float

        Returns
        -------
        StreamOrigin or None
        """
        self.remove_expired(now_s)
        return self._origin_by_id.get(request_id)

    def remove_expired(self, now_s):
        """Remove the origins whose clients no longer come back.

        Parameters
        ----------
        now_s : float
        """
        while self._expiries and self._expiries[0][0] <= now_s:
            self._remove_first()

    def _remove_first(self):
        _, request_id = heapq.heappop(self._expiries)
        del self._origin_by_id[request_id]
