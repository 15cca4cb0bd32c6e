"""Which frames a peer has not acknowledged, and when the connection to it has to be renewed."""

from collections import deque
from enum import Enum

from hemlockdock_core.links.frame_number import NOT_NUMBERED, session_of
from hemlockdock_core.links.retained_frames import RetainedFrames

# Most answers take some milliseconds. A probe tells a peer whose answer takes longer, as it waits
# for its disk, from a connection that delivers nothing.
PROBE_AFTER_S = 0.15
RENEW_AFTER_S = 0.35
# A peer that was heard this lately sends over a connection that works. It is less than the time to
# a renewal, so that a peer that fell silent with its last answer is not taken for heard.
HEARD_WITHIN_S = 0.3
# A process that is busy all the time may not see answers that are there. After this time it
# renews a connection all the same.
MAX_BUSY_S = 3.0
# Each renewal without effect doubles the time to the next one, up to this: a peer that is frozen
# or cut off doesn't have to accept more than a few connections afterwards.
MAX_RENEW_AFTER_S = 2.8
# A peer that has not answered for this long is gone; the next frame to it starts anew.
GIVE_UP_AFTER_S = 60.0


class LinkAction(Enum):
    """What has to be done about the connection to a peer."""

    NONE = "none"
    PROBE = "probe"
    RENEW = "renew"
    GIVE_UP = "give_up"


class Delivery:
    """Delivery of frames to one peer, and of the peer's frames to this process.

    Each frame has a number and names the number of the peer's last frame, which acknowledges it and
    all before it. Frames are retained until then. If one that expects an answer stays
    unacknowledged, the connection is renewed, and frames are held until the peer has answered over
    the new one and named the last frame that it received; the rest is then sent again. The peer
    discards what it has received before. So a renewal that was not needed loses, repeats and
    reorders nothing. A peer that was started anew gets nothing again that its predecessor may have
    received.

    Attributes
    ----------
    received : int
        Number of the last frame from the peer; NOT_NUMBERED before the first one.
    holds : bool
        Whether frames are held until the peer has answered over a new connection.
    retained : RetainedFrames
    """

    def __init__(self):
        self.received = NOT_NUMBERED
        self.holds = False
        self._heard_s = -HEARD_WITHIN_S
        self._peer_session = 0
        self._peer_acknowledges = True
        self.retained = RetainedFrames()
        self._last_sent = 0
        self._questions = deque()
        self._unanswered_since_s = 0.0
        self._clock_start_s = 0.0
        self._probed = False
        self._renew_after_s = RENEW_AFTER_S

    @property
    def is_known(self):
        """Tell whether the peer has sent a numbered frame, and acknowledges frames."""
        return bool(self._peer_session) and self._peer_acknowledges

    @property
    def is_waiting(self):
        """Tell whether the peer owes an answer."""
        return self.holds or bool(self._questions)

    @property
    def due_s(self):
        """Return the time at which ``decide`` has something to do; None for never."""
        if not self.is_waiting:
            return None
        renew_s = self._clock_start_s + self._timeout_s
        if self._probed:
            return renew_s
        return min(renew_s, self._clock_start_s + PROBE_AFTER_S)

    def is_heard(self, now_s):
        """Tell whether only the connection to the peer may be silent, not the one from it.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        bool
        """
        return now_s - self._heard_s < HEARD_WITHIN_S

    def unanswered_s(self, now_s):
        """Return for how long the peer has owed an answer; 0 if it owes none.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        float
        """
        return now_s - self._unanswered_since_s if self.is_waiting else 0.0

    def record_sent(self, number, data, expects_answer, now_s):
        """Record a frame for the peer, which is sent now unless frames are held.

        Parameters
        ----------
        number : int
        data : bytes
        expects_answer : bool
            Whether the connection is renewed if the frame is not acknowledged.
        now_s : float
        """
        if not self.holds:
            self._last_sent = number
        if not self._peer_acknowledges:
            return
        if expects_answer:
            if not self.is_waiting:
                self._wait_since(now_s)
            self._questions.append((number, now_s))
        self.retained.add(number, data, now_s)

    def record_received(self, number, now_s):
        """Record a frame from the peer.

        Parameters
        ----------
        number : int
        now_s : float

        Returns
        -------
        bool
            False if the frame was received before, over another connection.
        """
        self.record_session(number, now_s)
        if number == NOT_NUMBERED:
            return True
        if session_of(number) == session_of(self.received) and number <= self.received:
            return False
        self.received = number
        return True

    def record_session(self, number, now_s):
        """Record by which process the peer's frame was sent.

        Parameters
        ----------
        number : int
            NOT_NUMBERED from a software version that neither numbers nor acknowledges frames.
        now_s : float
        """
        if number == NOT_NUMBERED:
            self._peer_acknowledges = False
            self.stop_waiting()
            return
        self._peer_acknowledges = True
        self._heard_s = now_s
        session = session_of(number)
        if self._peer_session not in (0, session):
            # What was sent went to the process before.
            self.acknowledge(self._last_sent)
        self._peer_session = session

    def acknowledge(self, number):
        """Discard the frames that the peer has acknowledged.

        Parameters
        ----------
        number : int
            Of the session in which this process sends.
        """
        self.retained.drop_until(number)
        if not self._questions or self._questions[0][0] > number:
            return
        while self._questions and self._questions[0][0] <= number:
            self._questions.popleft()
        if self.holds:
            return
        self._renew_after_s = RENEW_AFTER_S
        if self._questions:
            self._wait_since(self._questions[0][1])

    def hold(self, now_s):
        """Hold frames until the peer has answered over a new connection.

        A peer that never answered gets them at once: it may not know probes.

        Parameters
        ----------
        now_s : float
        """
        if not self.is_waiting:
            self._unanswered_since_s = now_s
        self._clock_start_s = now_s
        self._probed = True
        self.holds = self.is_known

    def release(self, now_s):
        """Stop holding frames, and return those to send over the new connection.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        list of RetainedFrame
            The frames that the peer has not acknowledged, oldest first.
        """
        self.holds = False
        self._renew_after_s = RENEW_AFTER_S
        self._clock_start_s = now_s
        if self._questions:
            self._wait_since(self._questions[0][1])
        frames = self.retained.frames
        if frames:
            self._last_sent = frames[-1].number
        return frames

    def postpone(self, seconds):
        """Leave out a time in which this process did not run, and could not have seen an answer.

        Parameters
        ----------
        seconds : float
        """
        self._unanswered_since_s += seconds
        self._clock_start_s += seconds
        self._questions = deque((number, at_s + seconds) for number, at_s in self._questions)

    def restart_clock(self, now_s):
        """Wait for the answer anew, as this process has been too busy to see it.

        Parameters
        ----------
        now_s : float
        """
        if now_s - self._unanswered_since_s < MAX_BUSY_S:
            self._clock_start_s = now_s
            self._probed = False

    def decide(self, now_s):
        """Return what has to be done now, and expect the caller to do it.

        Parameters
        ----------
        now_s : float

        Returns
        -------
        LinkAction
        """
        if not self.is_waiting:
            return LinkAction.NONE
        if now_s >= self._unanswered_since_s + GIVE_UP_AFTER_S:
            self.stop_waiting()
            return LinkAction.GIVE_UP
        if now_s >= self._clock_start_s + self._timeout_s:
            self._clock_start_s = now_s
            self._renew_after_s = min(2 * self._renew_after_s, MAX_RENEW_AFTER_S)
            self._probed = True
            return LinkAction.RENEW
        if not self._probed and now_s >= self._clock_start_s + PROBE_AFTER_S:
            self._probed = True
            return LinkAction.PROBE
        return LinkAction.NONE

    def stop_waiting(self):
        """Drop all frames that are not acknowledged."""
        self.holds = False
        self._questions.clear()
        self.retained.clear()
        self._renew_after_s = RENEW_AFTER_S

    @property
    def _timeout_s(self):
        # The connection to a peer that never answered is new; it may just be starting.
        return self._renew_after_s if self.is_known else MAX_RENEW_AFTER_S

    def _wait_since(self, since_s):
        self._unanswered_since_s = since_s
        self._clock_start_s = max(self._clock_start_s, since_s)
        self._probed = False
