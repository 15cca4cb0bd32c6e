"""Run one attempt of a request at one agent."""

from functools import singledispatchmethod

import msgspec

from hemlockdock_core.errors import ErrorKind, NotRun, Refusal
from hemlockdock_core.messages import AnswerChunk, AnswerEnd, AnswerHead, Cancel, Refused, Resume
from hemlockdock_core.metrics import COUNTERS
from hemlockdock_entry.streams import Assembler, AssemblyAction

MS_PER_S = 1_000
MAX_RESUMES_WITHOUT_PROGRESS = 3
# A link that breaks drops frames, so a dispatch without an answer is sent again under the same
# attempt number, which an agent runs only once. The delay grows, because an engine may take long
# before it answers.
FIRST_RETRANSMIT_S = 1.0
RETRANSMIT_BACKOFF = 2.0
# Without a minimum, rounding could schedule the next check at the current time.
MIN_STALL_CHECK_S = 0.01


class Attempt:
    """One attempt of a request at one agent, from its dispatch or resumption to its end.

    Parameters
    ----------
    coordinator : RequestCoordinator
        Provides the clock, the settings, the message sender and the open attempts.
    request_id : str
    node : NodeRow
        The agent.
    listener : object
        With ``on_head(status, content_type)``, ``on_data(data)``, ``on_end()`` and
        ``on_failed(refusal)``.
    resumable : bool
        Whether the agent buffers the answer, so that it can be resumed.
    offset : int, optional
        Number of the answer's bytes that the caller already has.
    """

    def __init__(self, coordinator, request_id, node, listener, resumable, offset=0):
        self.node = node
        self.request_id = request_id
        self._coordinator = coordinator
        self._listener = listener
        self._resumable = resumable
        self._assembler = Assembler(offset)
        self._attempt_numbers = []
        self._has_head = False
        self._closed = False
        self._progress_at = coordinator.clock.seconds()
        self._resumes = 0
        self._answer_length = None
        self._stall_s = coordinator.settings.entry.stall_ms / MS_PER_S
        self._stall_timer = None
        self._dispatch_message = None
        self._retransmit_timer = None
        self._was_retransmitted = False

    @property
    def offset(self):
        """Return the number of the answer's bytes that were received in order."""
        return self._assembler.offset

    @property
    def has_head(self):
        """Return whether the engine has begun to answer."""
        return self._has_head

    def dispatch(self, message):
        """Send the request.

        Parameters
        ----------
        message : Dispatch
        """
        self._open(message.attempt)
        self._coordinator.send(self.node.address, message)
        self._schedule_stall_check()
        if not self._resumable:
            self._dispatch_message = message
            self._schedule_retransmit(FIRST_RETRANSMIT_S)

    def resume(self):
        """Ask the agent for the rest of the answer."""
        number = self._coordinator.attempts.next_number()
        self._open(number)
        self._coordinator.send(self.node.address, Resume(self.request_id, number, self.offset))
        COUNTERS.increment("entry_resumes")
        if self._stall_timer is None:
            self._schedule_stall_check()

    def cancel(self):
        """Cancel the run at the agent and accept no more messages from it."""
        if self._closed:
            return
        self._send_cancel()
        self.close()

    def close(self):
        """Accept no more messages; may be called repeatedly."""
        self._closed = True
        for number in self._attempt_numbers:
            self._coordinator.attempts.close(self.request_id, number)
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
        self._cancel_retransmit()

    def fail(self, kind, message, not_run=None):
        """End the attempt with a failure that the entry detected itself.

        Parameters
        ----------
        kind : ErrorKind
        message : str
        not_run : NotRun, optional
        """
        if self._closed:
            return
        self.close()
        if not_run is None and self._has_head:
            not_run = NotRun.FALSE
        self._listener.on_failed(Refusal.of(kind, message, not_run))

    @singledispatchmethod
    def handle(self, body):
        """Handle a message that belongs to this attempt.

        Parameters
        ----------
        body : AnswerHead, AnswerChunk, AnswerEnd or Refused
        """
        raise TypeError(f"unexpected message type {type(body).__name__}")

    @handle.register
    def _(self, body: AnswerChunk):
        if not self._has_head:
            self._on_gap()
            return
        assembled = self._assembler.chunk(body.offset, body.data)
        if assembled.step is AssemblyAction.PASS:
            self._progress_at = self._coordinator.clock.seconds()
            self._resumes = 0
            self._listener.on_data(assembled.data)
            self._end_if_whole()
            return
        if assembled.step is AssemblyAction.DISCARD:
            COUNTERS.increment("entry_frames_discarded")
            return
        self._on_gap()

    @handle.register
    def _(self, body: AnswerHead):
        if self._has_head:
            return
        self._has_head = True
        self._cancel_retransmit()
        self._progress_at = self._coordinator.clock.seconds()
        self._listener.on_head(body.status, body.content_type)

    @handle.register
    def _(self, body: AnswerEnd):
        self._answer_length = body.length
        if not self._end_if_whole():
            self._on_gap()

    @handle.register
    def _(self, body: Refused):
        if (
            body.attempt != self._attempt_numbers[-1]
            and body.refusal.kind is ErrorKind.UNKNOWN_STREAM
        ):
            # Reply to a resumption that a newer one has superseded.
            COUNTERS.increment("entry_frames_discarded")
            return
        if body.refusal.kind is ErrorKind.ALREADY_RAN and self._was_retransmitted:
            self.fail(ErrorKind.STREAM_STALLED, "the answer was lost on the way")
            return
        self.close()
        self._listener.on_failed(body.refusal)

    def _send_cancel(self):
        # The agent accepts the attempt number that it answered last. If the Resume was lost, that
        # is still the first one, so both are cancelled.
        for number in {self._attempt_numbers[0], self._attempt_numbers[-1]}:
            self._coordinator.send(self.node.address, Cancel(self.request_id, number))

    def _open(self, number):
        self._attempt_numbers.append(number)
        self._coordinator.attempts.open(self.request_id, number, self)

    def _end_if_whole(self):
        if self._answer_length is None or not self._has_head:
            return False
        if self._assembler.end(self._answer_length).step is not AssemblyAction.END:
            return False
        self.close()
        self._listener.on_end()
        return True

    def _on_gap(self):
        COUNTERS.increment("entry_stream_gaps")
        if self._resumes == 0:
            self._resume_or_fail("frames of the answer were lost")

    def _schedule_retransmit(self, delay_s):
        clock = self._coordinator.clock
        self._retransmit_timer = clock.callLater(delay_s, self._retransmit, delay_s)

    def _retransmit(self, waited_s):
        self._retransmit_timer = None
        left_ms = max(0, self._dispatch_message.deadline_ms - round(waited_s * MS_PER_S))
        self._dispatch_message = msgspec.structs.replace(
            self._dispatch_message, deadline_ms=left_ms
        )
        if not self._is_agent_leaving():
            self._was_retransmitted = True
            self._coordinator.send(self.node.address, self._dispatch_message)
            COUNTERS.increment("entry_dispatches_repeated")
        self._schedule_retransmit(waited_s * RETRANSMIT_BACKOFF)

    def _is_agent_leaving(self):
        # A leaving agent finishes what it has admitted and admits nothing more.
        node = self._coordinator.link.table.node_by_id.get(self.node.node_id)
        return node is None or node.leaving

    def _cancel_retransmit(self):
        if self._retransmit_timer is not None:
            self._retransmit_timer.cancel()
            self._retransmit_timer = None

    def _schedule_stall_check(self):
        self._stall_timer = self._coordinator.clock.callLater(self._stall_s, self._check_stall)

    def _check_stall(self):
        self._stall_timer = None
        idle_s = self._coordinator.clock.seconds() - self._progress_at
        if idle_s < self._stall_s:
            left_s = max(MIN_STALL_CHECK_S, self._stall_s - idle_s)
            self._stall_timer = self._coordinator.clock.callLater(left_s, self._check_stall)
            return
        if not self._resumable and not self._has_head:
            # An engine may take long before its first byte; only the deadline limits that time.
            self._schedule_stall_check()
            return
        self._progress_at = self._coordinator.clock.seconds()
        self._resume_or_fail("the answer stalled")

    def _resume_or_fail(self, message):
        exhausted = self._has_head and self._resumes >= MAX_RESUMES_WITHOUT_PROGRESS
        if not self._resumable or exhausted:
            self._send_cancel()
            self.fail(ErrorKind.STREAM_STALLED, message)
            return
        self._resumes += 1
        self.resume()
