"""Keep answers within a bound of memory and time."""

from hemlockdock_agent.answers.buffer import AnswerBuffer
from hemlockdock_core.metrics import COUNTERS

BYTES_PER_KB = 1_024


class AnswerStore:
    """Keep answers by request id, those in progress and those that ended.

    Where memory runs out, ended answers go first, the oldest before the others; then the
    answer that grows is given up, so that it can no longer be read again.

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
        """Start an answer; an earlier one of the same request is dropped.

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
        """Add bytes to an answer.

        Parameters
        ----------
        buffer : AnswerBuffer
        data : bytes

        Returns
        -------
        bool
            False where the answer had to be given up.
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
        """Note that an answer ended; it is kept for a while.

        Parameters
        ----------
        buffer : AnswerBuffer
        refusal : Refusal or None
        now_ms : float
        """
        buffer.end(refusal, now_ms)

    def drop(self, request_id):
        """Forget an answer; one that is not there is passed over.

        Parameters
        ----------
        request_id : str
        """
        buffer = self.buffer_by_id.pop(request_id, None)
        if buffer is not None:
            self.bytes_held -= buffer.length

    def expire(self, now_ms):
        """Forget the answers that ended too long ago.

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
