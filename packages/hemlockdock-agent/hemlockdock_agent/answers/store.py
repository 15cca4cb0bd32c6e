"""Store answers within limits of memory and time."""

from hemlockdock_agent.answers.buffer import AnswerBuffer
from hemlockdock_core.metrics import COUNTERS

BYTES_PER_KB = 1_024


class AnswerStore:
    """Store answers in progress and ended answers by request id.

    If memory runs out, ended answers are evicted first, in the order in which they ended. If
    that is not enough, the growing answer is dropped and can no longer be resumed.

    Parameters
    ----------
    settings : Settings

    Attributes
    ----------
    buffer_by_id : dict of str to AnswerBuffer
    bytes_held : int
    """

    def __init__(self, settings):
        self._limit = settings.agent.answer_buffer_kb * BYTES_PER_KB
        self._keep_ms = settings.agent.answer_keep_ms
        self.buffer_by_id = {}
        self.bytes_held = 0

    def open(self, request_id):
        """Create a buffer, replacing an earlier one of the same request.

        Parameters
        ----------
        request_id : str

        Returns
        -------
        AnswerBuffer
        """
        self.drop(request_id)
        buffer = AnswerBuffer(request_id)
        self.buffer_by_id[request_id] = buffer
        return buffer

    def append(self, buffer, data):
        """Append bytes to an answer.

        Parameters
        ----------
        buffer : AnswerBuffer
        data : bytes

        Returns
        -------
        bool
            False if the answer is not stored any more.
        """
        if self.buffer_by_id.get(buffer.request_id) is not buffer:
            return False
        if self.bytes_held + len(data) > self._limit and not self._evict_ended(len(data)):
            COUNTERS.increment("agent_answers_given_up")
            self.drop(buffer.request_id)
            return False
        buffer.append(data)
        self.bytes_held += len(data)
        return True

    def end(self, buffer, refusal, now_ms):
        """Mark an answer as ended; it stays stored for ``agent.answer_keep_ms``.

        Parameters
        ----------
        buffer : AnswerBuffer
        refusal : Refusal or None
        now_ms : float
        """
        buffer.end(refusal, now_ms)

    def drop(self, request_id):
        """Delete an answer, if it is stored.

        Parameters
        ----------
        request_id : str
        """
        buffer = self.buffer_by_id.pop(request_id, None)
        if buffer is not None:
            self.bytes_held -= buffer.length

    def expire(self, now_ms):
        """Delete the answers that ended at least ``agent.answer_keep_ms`` ago.

        Parameters
        ----------
        now_ms : float
        """
        for request_id, buffer in list(self.buffer_by_id.items()):
            if buffer.ended and now_ms - buffer.ended_ms >= self._keep_ms:
                self.drop(request_id)

    def _evict_ended(self, size):
        ended = [buffer for buffer in self.buffer_by_id.values() if buffer.ended]
        ended.sort(key=lambda buffer: buffer.ended_ms)
        for buffer in ended:
            if self.bytes_held + size <= self._limit:
                break
            self.drop(buffer.request_id)
        return self.bytes_held + size <= self._limit
