"""Match frames with the tries that they belong to."""

from hemlockdock_core.metrics import COUNTERS

FIRST_RESUME_NUMBER = 1_000


class AttemptRegistry:
    """Hold the open tries by request and attempt number.

    A frame that matches none is late, crossed or made up: it is counted and discarded.
    """

    def __init__(self):
        self._attempt_by_key = {}
        self._last_number = FIRST_RESUME_NUMBER

    def next_number(self):
        """Return an attempt number for a resumption, never used before in this process.

        Returns
        -------
        int
        """
        self._last_number += 1
        return self._last_number

    def open(self, request_id, number, attempt):
        """Take frames for a try.

        Parameters
        ----------
        request_id : str
        number : int
        attempt : Attempt
        """
        self._attempt_by_key[request_id, number] = attempt

    def close(self, request_id, number):
        """Take no more frames for a try.

        Parameters
        ----------
        request_id : str
        number : int
        """
        self._attempt_by_key.pop((request_id, number), None)

    def all(self):
        """Return every open try once."""
        return list(dict.fromkeys(self._attempt_by_key.values()))

    def handle(self, body, sender):
        """Give a frame to its try.

        Parameters
        ----------
        body : AnswerHead, AnswerChunk, AnswerEnd or Refused
        sender : str
            Node id.
        """
        attempt = self._attempt_by_key.get((body.request_id, body.attempt))
        if attempt is None or attempt.node.node_id != sender:
            COUNTERS.increment("entry_frames_discarded")
            return
        attempt.handle(body)
