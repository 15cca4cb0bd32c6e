"""Send answers to their readers, and store those that can be resumed."""

from hemlockdock_agent.requests.answer_reader import AnswerReader
from hemlockdock_core.errors import ErrorKind, Refusal
from hemlockdock_core.messages import AnswerChunk, AnswerEnd, AnswerHead, Refused


class AnswerSender:
    """Send answers to their readers, and store those that can be resumed.

    Parameters
    ----------
    send : callable
        Takes an address and a message.
    store : AnswerStore
    """

    def __init__(self, send, store):
        self._send = send
        self._store = store

    def open(self, run):
        """Create the buffer of a resumable run.

        Parameters
        ----------
        run : Run
        """
        if run.dispatch.resumable:
            run.buffer = self._store.open(run.request_id)

    def send_head(self, run, status, content_type):
        """Send the status and the content type of an answer.

        Parameters
        ----------
        run : Run
        status : int
        content_type : str
        """
        run.status = status
        run.content_type = content_type
        if run.buffer is not None:
            run.buffer.status = status
            run.buffer.content_type = content_type
        reader = run.reader
        if reader is not None:
            head = AnswerHead(run.request_id, reader.attempt, status, content_type)
            self._send(reader.address, head)

    def send_data(self, run, data):
        """Send a chunk of an answer.

        Parameters
        ----------
        run : Run
        data : bytes
        """
        if run.buffer is not None and not self._store.append(run.buffer, data):
            run.buffer = None
        reader = run.reader
        if reader is not None:
            chunk = AnswerChunk(run.dispatch.request_id, reader.attempt, run.offset, data)
            self._send(reader.address, chunk)
        run.offset += len(data)

    def send_end(self, run, refusal, now_ms):
        """Send the end of an answer, or the refusal that ended it.

        Parameters
        ----------
        run : Run
        refusal : Refusal or None
        now_ms : float
        """
        if run.buffer is not None:
            self._store.end(run.buffer, refusal, now_ms)
        reader = run.reader
        if reader is not None:
            self._send(reader.address, _last_frame(run.request_id, reader, run.offset, refusal))

    def send_refusal(self, request_id, reader, refusal):
        """Send a refusal.

        Parameters
        ----------
        request_id : str
        reader : AnswerReader
        refusal : Refusal
        """
        self._send(reader.address, Refused(request_id, reader.attempt, refusal))

    def resume(self, resume, run, frame):
        """Send an answer from an offset, and make the sender of the frame its reader.

        Parameters
        ----------
        resume : Resume
        run : Run or None
            The run if it is still in progress; its previous reader receives no more frames.
        frame : Frame
        """
        reader = AnswerReader(frame.sender, frame.reply_to, resume.attempt)
        buffer = self._store.buffer_by_id.get(resume.request_id)
        if buffer is None or resume.offset > buffer.length or resume.offset < 0:
            refusal = Refusal.of(ErrorKind.UNKNOWN_STREAM, "the answer is not kept here")
            self.send_refusal(resume.request_id, reader, refusal)
            return
        if run is not None:
            run.reader = reader
        if buffer.status:
            head = AnswerHead(resume.request_id, reader.attempt, buffer.status, buffer.content_type)
            self._send(reader.address, head)
        for offset, data in buffer.chunks_from(resume.offset):
            chunk = AnswerChunk(resume.request_id, reader.attempt, offset, data)
            self._send(reader.address, chunk)
        if buffer.ended:
            last = _last_frame(resume.request_id, reader, buffer.length, buffer.refusal)
            self._send(reader.address, last)


def _last_frame(request_id, reader, length, refusal):
    if refusal is None:
        return AnswerEnd(request_id, reader.attempt, length)
    return Refused(request_id, reader.attempt, refusal)
