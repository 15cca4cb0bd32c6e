"""What a play of requests that crash engines showed."""

from dataclasses import dataclass, field

# The users count what is sent later than this after a crash.
WINDOW_S = 3.0


@dataclass(slots=True)
class RoundResult:
    """What a play showed.

    Attributes
    ----------
    crash_times_s : list of float
    bad_sends_s : list of float
        When prompts with the bad part reached an engine.
    refused_s_by_entry : dict of int to float
        When each entry first knew that it has to refuse the part.
    sound_before, sound_after : list of bool
        Of sound requests before the first crash and after the last one, whether they were answered.
    """

    crash_times_s: list = field(default_factory=list)
    bad_sends_s: list = field(default_factory=list)
    refused_s_by_entry: dict = field(default_factory=dict)
    sound_before: list = field(default_factory=list)
    sound_after: list = field(default_factory=list)

    @property
    def sends_after_fifth(self):
        """Return how many prompts were sent later than the window after the fifth crash."""
        if len(self.crash_times_s) < 5:
            return 0
        limit_s = self.crash_times_s[4] + WINDOW_S
        return sum(sent_s > limit_s for sent_s in self.bad_sends_s)

    @property
    def sends_after_third(self):
        """Return how many prompts were sent later than the window after the third crash."""
        if len(self.crash_times_s) < 3:
            return 0
        limit_s = self.crash_times_s[2] + WINDOW_S
        return sum(sent_s > limit_s for sent_s in self.bad_sends_s)

    @property
    def sound_ratio(self):
        """Return the share of sound requests answered after the crashes against before."""
        before = sum(self.sound_before) / len(self.sound_before)
        return sum(self.sound_after) / len(self.sound_after) / before

    @property
    def slowest_refusal_s(self):
        """Return the time from the last crash until the last entry refused; 0 if none was later."""
        return max(0.0, max(self.refused_s_by_entry.values()) - self.crash_times_s[-1])
