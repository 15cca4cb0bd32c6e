"""Route messages from agents to the attempts that they belong to."""

from hemlockdock_core.metrics import COUNTERS

FIRST_RESUME_NUMBER = 1_000


class AttemptRegistry:
    """Open attempts by request id and attempt number.

    Messages that match no open attempt, because they are late, misdirected or forged, are counted
    and discarded.
    """

    def __init__(self):
        self._attempt_by_key = {}
        self._last_number = FIRST_RESUME_NUMBER

    def next_number(self):
        """Return an attempt number for a resumption, unique in this process.

        Returns
        -------
        int
        """
        self._last_number += 1
        return self._last_number

    def open(self, request_id, number, attempt):
        """Route messages to an attempt.

        Parameters
        ----------
        request_id : str
        number : int
        attempt : Attempt
        """
        self._attempt_by_key[request_id, number] = attempt

    def close(self, request_id, number):
        """Stop routing messages to an attempt.

        Parameters
        ----------
        request_id : str
        number : int
        """
        self._attempt_by_key.pop((request_id, number), None)

    def all(self):
        """Return each open attempt once."""
        return list(dict.fromkeys(self._attempt_by_key.values()))

    def handle(self, body, sender):
        """Pass a message to its attempt.

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
